package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// operator sends manifests to any core machine of a list and reads them back.
type operator struct {
	lab    *lab
	client http.Client
	list   []*machine // that serve control
}

func newOperator(l *lab, list []*machine) *operator {
	return &operator{
		lab: l, list: list,
		client: http.Client{
			Timeout: time.Second,
			CheckRedirect: func(_ *http.Request, via []*http.Request) error {
				if len(via) > 2 {
					return fmt.Errorf("more than two redirects")
				}

				return nil
			},
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// The addresses of the routes. They stand in the heads of packets only; nothing is sent to them.
const (
	deskHost, deskPort = "127.198.18.1", 443
	linkHost, linkPort = "127.198.18.1", 8443
)

func manifest(version uint64) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"r-desk","hostname":%q,"pathPrefix":"/%d/","type":"safe","timeoutMs":2000,"targetLatencyMs":120,`+
		`"priority":2,"service":"desk","maxAttempts":2},`+
		`{"name":"r-link","hostname":%q,"pathPrefix":"/%d/","type":"safe","timeoutMs":2000,"targetLatencyMs":120,`+
		`"priority":2,"service":"link","maxAttempts":2}],`+
		`"services":[{"name":"desk","healthPath":"/health","maxConnections":2000,"protocol":"h1","tls":false},`+
		`{"name":"link","healthPath":"/health","maxConnections":2000,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":%d}}`,
		version, deskHost, deskPort, linkHost, linkPort, idleTimeout.Milliseconds())
}

// put sends a manifest until it is acknowledged, to another machine after each failure.
func (o *operator) put(version uint64, limit time.Duration) bool {
	o.lab.note("operator: sends version %d", version)

	pause := 50 * time.Millisecond

	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pause) {
		to := o.list[rand.IntN(len(o.list))]

		response, err := o.client.Post("http://"+to.at(controlPort).String()+"/v1/Config.Put", "application/json",
			strings.NewReader(manifest(version)))
		if err == nil {
			response.Body.Close()

			if response.StatusCode == http.StatusOK {
				o.lab.note("operator: version %d is acknowledged, asked %s", version, to.name)

				return true
			}
		}

		pause = min(2*pause, time.Second)
	}

	o.lab.note("operator: version %d is not acknowledged within %v", version, limit)

	return false
}

// read reads the manifest from one machine. The answer is the version, or why there is none.
func (o *operator) read(from *machine) (version uint64, answer string) {
	response, err := o.client.Get("http://" + from.at(controlPort).String() + "/v1/Config.Get")
	if err != nil {
		return 0, "no answer"
	}

	defer response.Body.Close()

	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, fmt.Sprintf("status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}

	var found struct {
		Version uint64 `json:"version"`
	}

	if err := json.Unmarshal(data, &found); err != nil {
		return 0, "bytes that are no manifest"
	}

	return found.Version, fmt.Sprintf("version %d", found.Version)
}
