package examples

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

const configurationFile = "configuration.json"

// deployments maps the folder of each deployment to its number of processes: the
// control instances, then the other processes, by service except in by-hand.
var deployments = map[string]int{
	"penne-amiche": 3 + 6 + 3 + 3 + 3,
	"kjaergaard":   3 + 4 + 3 + 3 + 3,
	"by-hand":      3 + 2,
}

func TestSettings(t *testing.T) {
	for folder, want := range deployments {
		t.Run(folder, func(t *testing.T) {
			processes := loadDeployment(t, folder)
			if len(processes) != want {
				t.Errorf("%d processes, want %d", len(processes), want)
			}
			checkAddresses(t, processes)
		})
	}
}

func loadDeployment(t *testing.T, folder string) []settings.Settings {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	var processes []settings.Settings
	for _, path := range paths {
		if filepath.Base(path) == configurationFile {
			continue
		}
		s, err := settings.Load(path)
		if err != nil {
			t.Errorf("%s:\n%v", path, err)
			continue
		}
		if want := strings.TrimSuffix(filepath.Base(path), ".json"); s.Instance != want {
			t.Errorf("%s: instance is %s, want the name of the file", path, s.Instance)
		}
		processes = append(processes, s)
	}
	return processes
}

// checkAddresses checks that no two processes share an address for callers, exit
// traffic or operators, and that a control instance listens on each source.
func checkAddresses(t *testing.T, processes []settings.Settings) {
	t.Helper()
	owners := map[netip.AddrPort]string{}
	sources := map[netip.AddrPort]bool{}
	for _, s := range processes {
		for _, address := range []netip.AddrPort{s.Proxy.Callers, s.Proxy.Exit, s.Operator} {
			if other, taken := owners[address]; taken {
				t.Errorf("%s and %s share %s", s.Instance, other, address)
			}
			owners[address] = s.Instance
		}
		if s.Control != nil {
			sources[s.Control.Listen] = true
		}
	}
	for _, s := range processes {
		for _, source := range s.Sources {
			if !sources[source] {
				t.Errorf("%s: no control instance listens on the source %s", s.Instance, source)
			}
		}
	}
}

func TestConfigurations(t *testing.T) {
	for folder := range deployments {
		t.Run(folder, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(folder, configurationFile))
			if err != nil {
				t.Fatal(err)
			}
			c := &schema.Configuration{}
			if err := protojson.Unmarshal(data, c); err != nil {
				t.Fatal(err)
			}
			checkConfiguration(t, c)
			processes := loadDeployment(t, folder)
			for _, service := range c.GetServices() {
				// The proxies of by-hand are named proxy-1 and proxy-2.
				if folder != "by-hand" && !hasInstances(processes, service.GetName()) {
					t.Errorf("no process is named after the service %s", service.GetName())
				}
			}
		})
	}
}

func hasInstances(processes []settings.Settings, service string) bool {
	for _, s := range processes {
		if strings.HasPrefix(s.Instance, service+"-") {
			return true
		}
	}
	return false
}

// checkConfiguration checks that the shares of each service add up to the full
// share, that the service of each route is configured, and that no route for POST
// is idempotent.
func checkConfiguration(t *testing.T, c *schema.Configuration) {
	t.Helper()
	services := map[string]bool{}
	for _, service := range c.GetServices() {
		services[service.GetName()] = true
		var total uint32
		for _, version := range service.GetVersions() {
			total += version.GetShare()
		}
		if total != uint32(hornbeamwell.FullShare) {
			t.Errorf("service %s: the shares add up to %d", service.GetName(), total)
		}
	}
	for _, route := range c.GetRoutes() {
		if !services[route.GetService()] {
			t.Errorf("route %s: there is no service %s", route.GetName(), route.GetService())
		}
		for _, method := range route.GetMethods() {
			if method == "POST" && route.GetIdempotent() {
				t.Errorf("route %s: a route for POST must not be idempotent", route.GetName())
			}
		}
	}
}
