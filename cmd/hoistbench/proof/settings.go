package proof

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	routers     = 6
	engines     = 12
	engineSlots = 6
	datacentres = 3

	model          = "hearth-7b"
	enginePool     = "hearth"
	servicePool    = "dispatch"
	serviceName    = "dispatch"
	region         = "central"
	callerSecret   = "proof-caller-secret"
	operatorSecret = "proof-operator-secret"
)

// secretHash returns the SHA-256 hash of a secret in hexadecimal, as the configuration holds it.
func secretHash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// snapshot returns a configuration in TOML; variant changes its content.
//
// The latency targets of its only class are so long that no request is refused early for missing them.
func snapshot(generation, variant int) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "generation = %d\n\n[[tiers]]\nname = \"asked\"\nrank = 1\n", generation)
	_, _ = fmt.Fprintf(&b, "\n[[classes]]\nname = \"triage\"\ntier = \"asked\"\nfirst_token_ms = 20000\n"+
		"inter_token_ms = 1000\nfloor_permille = 50\nmax_wait_ms = %d\n", 20000+variant)
	b.WriteString("\n[[workspaces]]\nname = \"north\"\ndetailed = true\n")
	_, _ = fmt.Fprintf(&b, "\n[[credentials]]\nname = \"triage\"\nworkspace = \"north\"\nclass = \"triage\"\nsha256 = %q\n",
		secretHash(callerSecret))
	_, _ = fmt.Fprintf(&b, "\n[[pools]]\nname = %q\nkind = \"engine\"\nmodels = [%q]\nslots = %d\nlong_cap = 3\n"+
		"reserved_slots = 1\nfenced = true\nfence = 1\nrole = \"mixed\"\ntokens_per_second = 100\n", enginePool, model, engineSlots)
	_, _ = fmt.Fprintf(&b, "\n[[pools]]\nname = %q\nkind = \"service\"\nslots = 32\n", servicePool)
	_, _ = fmt.Fprintf(&b, "\n[[models]]\nname = %q\nversion = \"1\"\nweight_mib = 100\n", model)
	_, _ = fmt.Fprintf(&b, "\n[[services]]\nname = %q\npool = %q\ntimeout_ms = 5000\n", serviceName, servicePool)
	b.WriteString("\n[policy]\nlong_after_tokens = 400\nretry_budget_permille = 200\n")
	return b.String()
}

// settings returns the settings of a router in TOML.
func (r *router) settings(platform string) string {
	return fmt.Sprintf("name = %q\nregion = %q\ndatacentre = %q\n\n[listen]\ncallers = %q\nadmin = %q\npeers = %q\nadvertise = %q\n\n"+
		"[platform]\nurl = %q\nkey = \"hoist\"\n\n[timing]\ndrain_ms = 20000\n\n[[operators]]\nname = \"proof\"\nsha256 = %q\n",
		r.name, region, datacentre(r.datacentre), r.callerAddress, r.adminAddress, r.peerAddress, r.advertisedAddress,
		"http://"+platform, secretHash(operatorSecret))
}

// datacentre returns the name of a data centre.
func datacentre(i int) string { return fmt.Sprintf("dc%d", i+1) }
