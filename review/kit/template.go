package main

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// render fills in a template of settings as the users' page on deployment tells: values, lists, and sections.
func render(template string, scopes ...any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("template: no end of {{%s", rest)
		}
		template = after
		if tag == "," || !strings.HasPrefix(tag, "#") && !strings.HasPrefix(tag, "^") {
			out.WriteString(text(lookUp(tag, scopes)))
			continue
		}
		name := tag[1:]
		body, behind, ended := strings.Cut(after, "{{/"+name+"}}")
		if !ended {
			return "", fmt.Errorf("template: no end of section %s", name)
		}
		template = behind
		part, err := section(tag[0] == '^', body, lookUp(name, scopes), scopes)
		if err != nil {
			return "", err
		}
		out.WriteString(part)
	}
}

// section renders a section once, not at all, or once for each entry of a list or table.
func section(inverted bool, body string, value any, scopes []any) (string, error) {
	empty := value == nil || value == false || value == ""
	if inverted {
		if empty {
			return render(body, scopes...)
		}
		return "", nil
	}
	if empty {
		return "", nil
	}
	var out strings.Builder
	each := func(key string, entry any) error {
		part, err := render(body, append([]any{map[string]any{"@": key, ".": entry}}, scopes...)...)
		out.WriteString(part)
		return err
	}
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			if err := each(key, v[key]); err != nil {
				return "", err
			}
		}
	case []any:
		for i, entry := range v {
			if err := each(strconv.Itoa(i), entry); err != nil {
				return "", err
			}
		}
	default:
		return render(body, scopes...)
	}
	return out.String(), nil
}

func lookUp(name string, scopes []any) any {
	for _, scope := range scopes {
		if name == "." || name == "@" {
			if table, ok := scope.(map[string]any); ok && table[name] != nil {
				return table[name]
			}
			continue
		}
		value := scope
		for _, part := range strings.Split(name, ".") {
			value = child(value, part)
		}
		if value != nil {
			return value
		}
	}
	return nil
}

func child(value any, name string) any {
	switch v := value.(type) {
	case map[string]any:
		return v[name]
	case []any:
		if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(v) {
			return v[i]
		}
	}
	return nil
}

func text(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		parts := make([]string, len(v))
		for i, p := range v {
			parts[i] = text(p)
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(value)
}
