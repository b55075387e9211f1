// Command describe generates the operators' settings page from the declarations of the keys.
package main

import (
	"fmt"
	"log"
	"os"
	"strings"

	"galenamoor/internal/shell/settings"
)

const page = "../../../docs/operations/settings.generated.md"

const introduction = `# Settings

Generated from internal/shell/settings; change the declarations there and run ` + "`go generate ./...`" + `.

A daemon reads one INI file: ` + "`galenamoor serve --settings FILE`" + `. ` + "`galenamoor check --settings FILE`" + ` validates it
without starting the daemon. Unknown sections and keys, duplicates and invalid values are errors.

| section | key | default | unit | range | meaning |
|---|---|---|---|---|---|
`

const peerRows = `| Peer NAME | Address | required | IP address and port |  | gRPC address of the host NAME; one section for each host, including this one |
| Peer NAME | Controller | false |  | true or false | the host has a data folder and votes; 1, 3 or 5 hosts in all |
`

func main() {
	var b strings.Builder
	b.WriteString(introduction)
	for _, key := range settings.Keys() {
		defaultValue := key.Default
		if defaultValue == "" {
			defaultValue = "required"
		}
		if key.Name == "DataFolder" {
			defaultValue = "none"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", key.Section, key.Name, defaultValue, key.Unit, key.Range, key.Meaning)
	}
	b.WriteString(peerRows)
	if err := os.WriteFile(page, []byte(b.String()), 0o644); err != nil {
		log.Fatal(err)
	}
}
