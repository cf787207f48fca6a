package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

const callTimeout = time.Second

// operator is the stand-in of the operator.
type operator struct {
	world  *world
	client http.Client
}

func newOperator(w *world) *operator {
	return &operator{world: w, client: http.Client{Timeout: callTimeout}}
}

// manifest returns a manifest with one route for each service, and idle ones.
func manifest(version uint64, routes map[string]netip.AddrPort, idle int) string {
	var lines, services []string

	for service, address := range routes {
		lines = append(lines, manifestRoute("r-"+service, address, service))
		services = append(services, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConnections":2000,`+
			`"protocol":"h1","tls":false}`, service))
	}

	for number := range idle {
		for service, address := range routes {
			lines = append(lines, manifestRoute(fmt.Sprintf("r-%s-%d", service, number),
				netip.AddrPortFrom(address.Addr(), uint16(20000+number)), service))

			break
		}
	}

	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,`+
		`"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(lines, ","), strings.Join(services, ","))
}

func manifestRoute(name string, address netip.AddrPort, service string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"%s","pathPrefix":"/%d/","type":"unsafe","timeoutMs":2500,`+
		`"targetLatencyMs":150,"priority":1,"service":%q,"maxAttempts":2}`, name, address.Addr(), address.Port(), service)
}

// call sends a request to a controller and returns the status, 0 if there was no answer.
func (o *operator) call(ctx context.Context, method, url, body string) (status int, answer string) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}

	request.Header.Set("Content-Type", "application/json")

	response, err := o.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()

	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}

	return response.StatusCode, string(data)
}

// anyController returns the URL of a controller.
func (o *operator) anyController() string {
	controllers := o.world.of(roleController)

	return "http://" + controllers[rand.IntN(len(controllers))].at(controlPort).String()
}

// put sends a manifest until it is acknowledged or refused.
func (o *operator) put(ctx context.Context, version uint64, body string) error {
	for ctx.Err() == nil {
		status, answer := o.call(ctx, http.MethodPost, o.anyController()+"/v1/Config.Put", body)

		switch {
		case status == http.StatusOK:
			o.world.record.add("version %d was acknowledged", version)

			return nil
		case status >= 400 && status < 500:
			return fmt.Errorf("version %d was refused: %d %s", version, status, answer)
		}

		time.Sleep(50 * time.Millisecond)
	}

	return ctx.Err()
}

// read reads the newest manifest until there is a clear answer.
func (o *operator) read(ctx context.Context) (status int, body string) {
	for ctx.Err() == nil {
		status, body = o.call(ctx, http.MethodGet, o.anyController()+"/v1/Config.Get", "")
		if status == http.StatusOK || (status >= 400 && status < 500) {
			return status, body
		}

		time.Sleep(50 * time.Millisecond)
	}

	return 0, ""
}
