package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/relay"
	"github.com/kingcupknot/kingcupknot/standin"
)

const askTime = 2 * time.Second

var client = http.Client{Timeout: askTime}

func post(args []string) error {
	for _, u := range args {
		a, err := client.Post(u, "", nil)
		if err != nil {
			return errors.Trace(err)
		}
		a.Body.Close()
		if a.StatusCode >= http.StatusBadRequest {
			return errors.Errorf("%s answered %s", u, a.Status)
		}
	}
	return nil
}

func get(u string, into any) error {
	a, err := client.Get(u)
	if err != nil {
		return errors.Trace(err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", u, a.Status)
	}
	return errors.Trace(json.NewDecoder(a.Body).Decode(into))
}

func cut(args []string) error { return routes(args[0], "cut", args[1]) }

func heal(args []string) error { return routes(args[0], "heal", args[1]) }

// routes cuts or heals the routes of a relay whose names hold a text.
func routes(address, what, text string) error {
	all := map[string]relay.RouteState{}
	if err := get("http://"+address+"/routes", &all); err != nil {
		return err
	}
	n := 0
	for name := range all {
		if !strings.Contains(name, text) {
			continue
		}
		n++
		if err := post([]string{"http://" + address + "/" + what + "?route=" + url.QueryEscape(name)}); err != nil {
			return err
		}
	}
	if n == 0 {
		return errors.Errorf("no route's name holds %q", text)
	}
	fmt.Printf("%s: %d routes\n", what, n)
	return nil
}

// statements prints one line, so that two of them can be compared.
func statements(args []string) error {
	var s standin.Stats
	if err := get("http://"+args[0]+"/stats", &s); err != nil {
		return err
	}
	kinds := make([]string, 0, len(s.Statements))
	for k, n := range s.Statements {
		kinds = append(kinds, fmt.Sprintf("%s=%d", k, n))
	}
	sort.Strings(kinds)
	fmt.Printf("connections=%d %s\n", s.Connections, strings.Join(kinds, " "))
	return nil
}
