//go:build ignore

// Program generate prints docs/CONFIGURATION.md.
package main

import (
	"log"
	"os"

	"github.com/beryllatch/beryllatch/internal/common/berylsettings"
)

func main() {
	if err := berylsettings.WritePage(os.Stdout); err != nil {
		log.Fatal(err)
	}
}
