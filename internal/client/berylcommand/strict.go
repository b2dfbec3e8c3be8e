package berylcommand

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxDepth is the deepest nesting of a JSON document that is read, which bounds the recursion of checkRepeatedFields.
const maxDepth = 32

// decodeStrict decodes one JSON value and refuses unknown fields, repeated fields and trailing data.
func decodeStrict(doc []byte, v any) error {
	if err := checkRepeatedFields(json.NewDecoder(bytes.NewReader(doc)), "", 0); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(doc))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is more data after the JSON value")
	}
	return nil
}

// checkRepeatedFields reads the next JSON value and refuses objects in it, at any depth, in which a field appears
// twice. The decoder would silently keep the last one. Names that differ only in upper and lower case count as the same
// field, as they do for the decoder. The path locates the value in errors.
func checkRepeatedFields(d *json.Decoder, path string, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("%s: is nested too deeply", path)
	}
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		err = checkObject(d, path, depth)
	case json.Delim('['):
		err = checkArray(d, path, depth)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	_, err = d.Token()
	return err
}

func checkObject(d *json.Decoder, path string, depth int) error {
	names := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		name := fmt.Sprint(t)
		field := strings.TrimPrefix(path+"."+name, ".")
		if key := strings.ToLower(name); names[key] {
			return fmt.Errorf("%s: appears twice", field)
		}
		names[strings.ToLower(name)] = true
		if err := checkRepeatedFields(d, field, depth+1); err != nil {
			return err
		}
	}
	return nil
}

func checkArray(d *json.Decoder, path string, depth int) error {
	for n := 0; d.More(); n++ {
		if err := checkRepeatedFields(d, fmt.Sprintf("%s[%d]", path, n), depth+1); err != nil {
			return err
		}
	}
	return nil
}
