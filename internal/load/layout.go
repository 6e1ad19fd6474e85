package load

import (
	"fmt"
	"strings"
)

// portsPerVM are the ports of ingress, link, admin and upstream.
const portsPerVM = 4

// VM is one upstream with its node.
type VM struct {
	Name, Service, Datacentre      string
	Slots                          int
	Ingress, Link, Admin, Upstream string
}

// Layout places the VMs of a profile on loopback ports.
type Layout struct {
	Profile  *Profile
	Platform string
	VMs      []VM
}

// NewLayout places the profile's VMs on the ports above basePort. The platform
// listens on basePort itself. The upstreams of a service alternate between the
// data centres.
func NewLayout(p *Profile, basePort int) *Layout {
	l := &Layout{Profile: p, Platform: loopback(basePort)}
	port := basePort + 1
	for _, pool := range p.Pools {
		for i := range pool.Targets {
			l.VMs = append(l.VMs, VM{
				Name:       fmt.Sprintf("%s-%d", pool.Service, i+1),
				Service:    pool.Service,
				Datacentre: p.Datacentres[i%len(p.Datacentres)],
				Slots:      pool.Slots,
				Ingress:    loopback(port),
				Link:       loopback(port + 1),
				Admin:      loopback(port + 2),
				Upstream:   loopback(port + 3),
			})
			port += portsPerVM
		}
	}
	return l
}

// VM returns the VM of that name.
func (l *Layout) VM(name string) (VM, bool) {
	for _, vm := range l.VMs {
		if vm.Name == name {
			return vm, true
		}
	}
	return VM{}, false
}

// VMsOf returns the VMs of a service, or all VMs if service is empty.
func (l *Layout) VMsOf(service string) []VM {
	var out []VM
	for _, vm := range l.VMs {
		if service == "" || vm.Service == service {
			out = append(out, vm)
		}
	}
	return out
}

// Policy selects how all nodes work: as the product does or as one of the
// baselines that it is compared with.
type Policy struct {
	// Admission is adaptive, none or coin. Retries is chain or per-hop.
	Admission, Retries string
}

// Settings returns the settings file of the VM's node.
func (l *Layout) Settings(vm VM, p Policy) string {
	var b strings.Builder
	section := func(name string, pairs ...string) {
		fmt.Fprintf(&b, "[%s]\n", name)
		for i := 0; i < len(pairs); i += 2 {
			fmt.Fprintf(&b, "%s = %s\n", pairs[i], pairs[i+1])
		}
		b.WriteString("\n")
	}
	section("vm", "name", vm.Name, "datacentre", vm.Datacentre, "region", l.Profile.Region, "service", vm.Service)
	section("addresses", "front", vm.Ingress, "link", vm.Link, "admin", vm.Admin)
	section("upstream", "address", vm.Upstream, "slots", fmt.Sprint(vm.Slots), "health_path", healthPath)
	section("calls", "services", strings.Join(l.Profile.Calls(vm.Service), ", "))
	section("platform", "addresses", l.Platform)
	section("peers", "addresses", strings.Join(l.seeds(vm), ", "))
	section("policy", "admission", p.Admission, "retries", p.Retries)
	return b.String()
}

// seeds returns the link address of one other VM per service.
func (l *Layout) seeds(self VM) []string {
	var out []string
	for _, pool := range l.Profile.Pools {
		for _, vm := range l.VMsOf(pool.Service) {
			if vm.Name != self.Name {
				out = append(out, vm.Link)
				break
			}
		}
	}
	return out
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
