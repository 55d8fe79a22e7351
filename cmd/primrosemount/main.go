// Command primrosemount runs a node and the operators' tools.
package main

import "fmt"

func main() {
	fmt.Println("primrosemount")
}
