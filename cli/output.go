package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	urfave "github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hornbeamwell/hornbeamwell"
)

// The output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// printMessage prints a reply as JSON with the field names of the schema, or with the
// text function, depending on the output format.
func printMessage(cmd *urfave.Command, message proto.Message, text func(w io.Writer)) error {
	w := cmd.Root().Writer
	if cmd.String(flagFormat) != formatJSON {
		text(w)
		return nil
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode reply: %w", err)
	}
	return writeIndented(w, data)
}

// printValue prints a value as JSON or with the text function, depending on the output
// format.
func printValue(cmd *urfave.Command, value any, text func(w io.Writer)) error {
	w := cmd.Root().Writer
	if cmd.String(flagFormat) != formatJSON {
		text(w)
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	return writeIndented(w, data)
}

// writeIndented writes JSON with an indent of two spaces. It removes the white space of
// the input first, so that equal values have equal output.
func writeIndented(w io.Writer, data []byte) error {
	var compact, indented bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return fmt.Errorf("compact output: %w", err)
	}
	if err := json.Indent(&indented, compact.Bytes(), "", "  "); err != nil {
		return fmt.Errorf("indent output: %w", err)
	}
	indented.WriteByte('\n')
	if _, err := indented.WriteTo(w); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// printTable prints rows under a header in aligned columns.
func printTable(w io.Writer, header string, rows [][]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
}

// formatShare formats basis points as a percentage.
func formatShare(basisPoints uint32) string {
	percent := float64(basisPoints) * 100 / float64(hornbeamwell.FullShare)
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.2f", percent), "0"), ".") + "%"
}

// formatTime formats a time, or returns a dash for none.
func formatTime(t *timestamppb.Timestamp) string {
	if t == nil {
		return "-"
	}
	return t.AsTime().Format(time.RFC3339)
}

// formatSilence formats the time since the last message of a silent proxy.
func formatSilence(now time.Time, lastContact *timestamppb.Timestamp) string {
	if lastContact == nil {
		return "silent, never heard from"
	}
	return "silent for " + now.Sub(lastContact.AsTime()).Round(time.Second).String()
}
