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

const requestTimeout = 2 * time.Second

var client = http.Client{Timeout: requestTimeout}

// post sends a POST request without a body to each URL.
func post(args []string) error {
	for _, u := range args {
		response, err := client.Post(u, "", nil)
		if err != nil {
			return errors.Trace(err)
		}
		response.Body.Close()
		if response.StatusCode >= http.StatusBadRequest {
			return errors.Errorf("%s answered %s", u, response.Status)
		}
	}
	return nil
}

// getJSON decodes the JSON answer to a GET request.
func getJSON(u string, target any) error {
	response, err := client.Get(u)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", u, response.Status)
	}
	return errors.Trace(json.NewDecoder(response.Body).Decode(target))
}

func cutRoutes(args []string) error { return changeRoutes(args[0], "cut", args[1]) }

func healRoutes(args []string) error { return changeRoutes(args[0], "heal", args[1]) }

// changeRoutes cuts or heals those routes of a relay that have a given text in
// their names. action is the path of the request: cut or heal.
func changeRoutes(address, action, text string) error {
	all := map[string]relay.RouteState{}
	if err := getJSON("http://"+address+"/routes", &all); err != nil {
		return err
	}
	n := 0
	for name := range all {
		if !strings.Contains(name, text) {
			continue
		}
		n++
		if err := post([]string{"http://" + address + "/" + action + "?route=" + url.QueryEscape(name)}); err != nil {
			return err
		}
	}
	if n == 0 {
		return errors.Errorf("no route's name holds %q", text)
	}
	fmt.Printf("%s: %d routes\n", action, n)
	return nil
}

// printStatements prints a stand-in's counts of connections and statements on
// one line with sorted keys, so that scripts can compare two outputs.
func printStatements(args []string) error {
	var s standin.Stats
	if err := getJSON("http://"+args[0]+"/stats", &s); err != nil {
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
