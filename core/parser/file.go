package parser

import "os"

// ReadFile reads a settings file. The error is a *FaultsError.
func ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FaultsError{Faults: []Fault{{Source: path, Expected: "a settings file", Got: err.Error()}}}
	}
	return data, nil
}
