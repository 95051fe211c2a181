package route

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/syntax"
)

// Codec decodes documents of the desired state.
type Codec struct {
	// Decode returns the validated state of a document; its error is an *Invalid.
	Decode func(document []byte) (*State, error)
	// Check returns an *Invalid for a document that Decode reads otherwise than it is written.
	Check func(document []byte) error
}

// Accept returns the validated state of a new document, with an *Invalid also for what only Check finds. A document in force may come from
// a release that accepted more, so it is only decoded.
func (c Codec) Accept(document []byte) (*State, error) {
	state, err := c.Decode(document)
	if err == nil {
		err = c.Check(document)
	}
	return state, err
}

// CheckSyntax returns an *Invalid for the first place at which a document is decoded into a value of the type of into otherwise than it is
// written.
func CheckSyntax(text []byte, into any) error {
	var fault *syntax.Error
	if !errors.As(syntax.Check(text, into), &fault) {
		return nil
	}
	return &Invalid{Field: cmp.Or(fault.Path, "document"), Remedy: fault.Remedy}
}

// Own is the codec of chicoryrelay's own JSON format, which docs/routes.md specifies.
var Own = Codec{Decode: decodeOwn, Check: func(text []byte) error { return CheckSyntax(text, new(document)) }}

// duration is encoded as text with its unit, such as 800ms.
type duration time.Duration

func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

type document struct {
	Version *uint64 `json:"version"`
	Routes  []struct {
		Name      string         `json:"name"`
		Host      string         `json:"host"`
		Prefix    string         `json:"prefix"`
		Kind      Kind           `json:"kind"`
		Timeout   duration       `json:"timeout"`
		Target    duration       `json:"target"`
		Pause     duration       `json:"pause"`
		Priority  int            `json:"priority"`
		Split     map[string]int `json:"split"`
		Attempts  int            `json:"attempts"`
		Public    bool           `json:"public"`
		Sticky    bool           `json:"sticky"`
		Resumable bool           `json:"resumable"`
	} `json:"routes"`
	Services []struct {
		Name        string  `json:"name"`
		Health      string  `json:"health"`
		Connections int     `json:"connections"`
		Engine      *engine `json:"engine"`
		Store       *store  `json:"store"`
	} `json:"services"`
	Limits struct {
		Headers int      `json:"headers"`
		Body    int      `json:"body"`
		Header  duration `json:"header"`
		Idle    duration `json:"idle"`
	} `json:"limits"`
	Accounts []struct {
		Name     string   `json:"name"`
		Keys     []string `json:"keys"`
		Priority *int     `json:"priority"`
		Isolated bool     `json:"isolated"`
		Rate     float64  `json:"rate"`
		Burst    float64  `json:"burst"`
		Unit     Unit     `json:"unit"`
		Plain    float64  `json:"plain"`
	} `json:"accounts"`
}

type engine struct {
	Slots    int      `json:"slots"`
	Memory   int      `json:"memory"`
	Token    int      `json:"token"`
	Link     float64  `json:"link"`
	Moves    bool     `json:"moves"`
	Backups  bool     `json:"backups"`
	Watchers int      `json:"watchers"`
	Pin      duration `json:"pin"`
	Hold     duration `json:"hold"`
	Handle   duration `json:"handle"`
	Models   []string `json:"models"`
}

type store struct {
	Address  netip.AddrPort `json:"address"`
	Centre   string         `json:"centre"`
	Memory   int            `json:"memory"`
	Link     float64        `json:"link"`
	Watchers int            `json:"watchers"`
}

func decodeOwn(data []byte) (*State, error) {
	var d document
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return nil, &Invalid{Field: "document", Remedy: "send a JSON document in the format of docs/routes.md: " + err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Invalid{Field: "document", Remedy: "send exactly one JSON document, without data after it"}
	}
	if d.Version == nil {
		return nil, &Invalid{Field: "document", Remedy: "set the version"}
	}
	s := &State{Number: *d.Version, Limits: Limits{Headers: d.Limits.Headers, Body: d.Limits.Body, Header: time.Duration(d.Limits.Header), Idle: time.Duration(d.Limits.Idle)}}
	for _, r := range d.Routes {
		out := Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind, Timeout: time.Duration(r.Timeout), Target: time.Duration(r.Target),
			Pause: time.Duration(r.Pause), Priority: r.Priority, Attempts: r.Attempts, Public: r.Public, Sticky: r.Sticky, Resumable: r.Resumable,
		}
		for service, weight := range r.Split {
			out.Split = append(out.Split, Share{service, weight})
		}
		slices.SortFunc(out.Split, func(a, b Share) int { return strings.Compare(a.Service, b.Service) })
		s.Routes = append(s.Routes, out)
	}
	for _, v := range d.Services {
		out := Service{Name: v.Name, Health: v.Health, Connections: v.Connections}
		if e := v.Engine; e != nil {
			out.Engine = &Engine{
				Slots: e.Slots, Memory: e.Memory, TokenBytes: e.Token, LinkMbps: e.Link, Moves: e.Moves, Backups: e.Backups, Watchers: e.Watchers,
				Pin: time.Duration(e.Pin), Hold: time.Duration(e.Hold), Handle: time.Duration(e.Handle), Models: e.Models,
			}
		}
		if st := v.Store; st != nil {
			out.Store = &Store{Address: st.Address, Centre: st.Centre, Memory: st.Memory, LinkMbps: st.Link, Watchers: st.Watchers}
		}
		s.Services = append(s.Services, out)
	}
	for _, a := range d.Accounts {
		s.Accounts = append(s.Accounts, Account{
			Name: a.Name, Keys: a.Keys, Priority: a.Priority, Isolated: a.Isolated, Rate: a.Rate, Burst: a.Burst, Unit: a.Unit, Plain: a.Plain,
		})
	}
	return s, s.Check()
}
