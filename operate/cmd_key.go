package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/spf13/cobra"
)

func (p *program) keyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "generate a key for a client account or an operator",
		Long: "Key prints a new random key and its SHA-256 hash. Give the key to its owner and use create or set to store\n" +
			"the hash in the field key of the account or operator; the relay never stores the key itself.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			key := rand.Text()
			hash := sha256.Sum256([]byte(key))
			_, err := fmt.Fprintf(p.out, "key %s\nsha256 %s\n", key, hex.EncodeToString(hash[:]))
			return err
		},
	}
}
