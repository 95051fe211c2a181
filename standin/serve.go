package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"
)

// shutdownTimeout limits how long requests in progress may take after a stop signal; connections are then closed.
const shutdownTimeout = 2 * time.Second

// serve listens and serves until the context ends.
func serve(ctx context.Context, name, listen string, server *http.Server) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return oops.Code("flag").Errorf("--listen: give an IP address and port, such as 127.0.0.1:8000: %v", err)
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return oops.Code("listen").With("address", address).Errorf("choose a free address with --listen: %w", err)
	}
	log.WithFields(log.Fields{"standin": name, "address": listener.Addr().String()}).Info("listening")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return oops.Code("serve").With("standin", name).Wrap(err)
	}
	<-stopped
	return nil
}
