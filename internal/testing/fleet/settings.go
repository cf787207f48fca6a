package fleet

// The settings templates, which refer to the fields of instance. They follow the
// example deployment of Kitakyushu.
const (
	commonSettings = `{{define "telemetry"}}telemetry:
  log_level: INFO
  log_format: json
  debug_address: {{.Debug}}
{{end}}{{define "identity"}}identity:
  certificate: {{.Name}}.pem
  key: {{.Name}}.key
  authorities: [authority.pem]
{{end}}{{define "instance"}}instance: {name: {{.Name}}, environment: production, zone: {{.Zone}}}
{{end}}`

	controllerSettings = `name: {{.Name}}
zone: {{.Zone}}
data: {{.Name}}.data
listen: {{.Host}}:6101
peers: [{{.Controllers}}]
bootstrap: {{.Bootstrap}}
owners:
  - {name: city, key: "{{.City}}"}
  - {name: works, key: "{{.Works}}"}
{{template "telemetry" .}}{{template "identity" .}}`

	balancerSettings = `{{template "instance" .}}{{template "telemetry" .}}{{template "identity" .}}
upstreams: [{{.Upstreams}}]
data: {{.Host}}:6201
relay: {{.Host}}:6301
listen_host: {{.Host}}
workers: 1
linger: 1s
`

	agentSettings = `{{template "instance" .}}{{template "telemetry" .}}{{template "identity" .}}
upstreams: [{{.Upstreams}}]
service: {{.Service}}
service_key: {{.Service}}-service.key
caller_tls: {certificate: {{.Service}}.pem, key: {{.Service}}.key}
data: {{.Host}}:6501
peer: {{.Host}}:6502
backend: {{.Host}}:8080
health_path: /healthz
drain_timeout: 5s
`

	backendSettings = `{{template "instance" .}}telemetry: {log_level: WARN, log_format: json}
listen: {{.Host}}:8080
slots: 3
ledger: {{.Name}}.ledger
seed: {{.Seed}}
routes:
  - {method: GET, path: /alerts, duration: 250ms, feed: true}
  - {method: POST, path: /reports, duration: 20ms, size: 128, record: true}
  - {method: POST, path: /positions, duration: 5ms, size: 16}
`

	operatorSettings = `controllers: [{{.Controllers}}]
identity: {certificate: operator.pem, key: operator.key, authorities: [authority.pem]}
`

	loadSettings = `{{template "instance" .}}telemetry: {log_level: INFO, log_format: json}
seed: {{.Seed}}
duration: 5m
authority: authority.pem
balancers:
{{range .Balancers}}  - {host: {{.}}, health: {{.}}:6401}
{{end}}workloads:
{{range .Services}}  - name: {{.}}
    service: {{.}}
    port: {{if eq . "crew-link"}}7001{{else}}7002{{end}}
    callers: {{$.Callers}}
    feed: /alerts
    requests:
      - {class: pass-report, method: POST, path: /reports, interval: 200ms, timeout: 3s, deadline: 3s,
         attempts: {{$.Attempts}}, body_size: 200}
      - {class: position, method: POST, path: /positions, interval: 200ms, timeout: 3s, deadline: 3s,
         idempotent: true, attempts: {{$.Attempts}}, body_size: 64}
{{end}}ledgers: [{{.Ledgers}}]
`

	documentText = `schema: 1
services:
{{range .Services}}  - name: {{.Name}}
    address: {{.Address}}
    key: {{.Key}}
    slots: 3
    connections: 2000
    limits: {first_packets: {{$.Limit}}/s, first_packets_per_source: 1000/s}
    classes:
      - {name: feed, method: GET, path: /alerts, urgency: 0, idempotent: true, deadline: 2s, feed: true}
      - {name: pass-report, method: POST, path: /reports, urgency: 1, idempotent: false, deadline: 3s}
      - {name: position, method: POST, path: /positions, urgency: 2, idempotent: true, deadline: 3s}
{{end}}`
)
