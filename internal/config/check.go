package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/papayacove/papayacove/api"
)

// Bounds that check enforces, and the texts that name them in a Problem.
const (
	maxCallerConnections  = 100_000
	minMessageBytes       = 1 << 10
	maxMessageBytes       = 1 << 30
	minTimeoutMs          = 10
	maxTimeoutMs          = 3_600_000
	maxQueueLength        = 100_000
	minGraceS             = 0
	maxGraceS             = 3_600
	minConfigApplyMs      = 500
	minMemoryMb           = 16
	maxMemoryMb           = 1 << 20
	minDescriptors        = 64
	maxDescriptors        = 1 << 24
	maxCapacityCores      = 1 << 10
	minRevokeMs           = 1_000
	maxQuotaWindowS       = 3_600
	maxQuotaOverage       = 10
	maxQuotaSlack         = 1 << 20
	maxNameLength         = 63
	nameBound             = "1 to 63 of a-z, 0-9, - and _"
	addressBound          = "an IP address with a port of 1 to 65535"
	sourceAddressBound    = "an IP address without a port, or empty"
	platformBound         = "http or https URL with an IP address, a port and no path"
	requireTLSBound       = "false without a caller_certificate"
	certificatePairBound  = "a certificate and its key, or neither"
	peerCertificatesBound = "peer_certificate, peer_key and peer_authority, or none of them"
)

// IsName reports whether text may name a daemon, zone, group, template, workspace or user.
func IsName(text string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	for _, c := range text {
		if !isNameRune(c) {
			return false
		}
	}
	return true
}

func isNameRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z':
		return true
	case c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '_'
	}
}

// checker collects the problems of one settings file.
type checker struct {
	file     string
	problems Problems
}

func check(file string, s api.Settings) Problems {
	c := &checker{file: file}
	c.name("name", s.Name)
	c.name("region", s.Region)
	c.name("zone", s.Zone)
	c.address("caller_address", s.CallerAddress)
	c.address("peer_address", s.PeerAddress)
	c.address("admin_address", s.AdminAddress)
	c.distinctAddresses(s)
	c.sourceAddress(s.SourceAddress)
	c.peers(s.Peers)
	c.platformURL(s.PlatformURL)
	c.logLevel(s.LogLevel)
	c.limits(s.Limits)
	c.target(s.Target)
	c.tls(s.TLS)
	c.protocol(s)
	return c.problems
}

func (c *checker) add(key, value, bound string) {
	c.problems.Add(c.file, key, value, bound)
}

func (c *checker) name(key, value string) {
	if !IsName(value) {
		c.add(key, value, nameBound)
	}
}

func (c *checker) address(key, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.add(key, value, addressBound)
	}
}

func (c *checker) sourceAddress(value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddr(value); err != nil {
		c.add("source_address", value, sourceAddressBound)
	}
}

func (c *checker) distinctAddresses(s api.Settings) {
	if s.PeerAddress == s.CallerAddress {
		c.add("peer_address", s.PeerAddress, "an address other than caller_address")
	}
	if s.AdminAddress == s.CallerAddress || s.AdminAddress == s.PeerAddress {
		c.add("admin_address", s.AdminAddress, "an address other than caller_address and peer_address")
	}
}

func (c *checker) peers(addresses []string) {
	for i, address := range addresses {
		c.address(fmt.Sprintf("peers[%d]", i), address)
	}
}

func (c *checker) platformURL(value string) {
	if !isPlatformURL(value) {
		c.add("platform_url", redactURL(value), platformBound)
	}
}

func isPlatformURL(value string) bool {
	parsed, err := url.Parse(value)
	if err != nil {
		return false
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" {
		return false
	}
	if parsed.User != nil || (parsed.Path != "" && parsed.Path != "/") {
		return false
	}
	_, err = netip.ParseAddrPort(parsed.Host)
	return err == nil
}

// redactURL returns the URL with its password masked, or Hidden when value is not a URL.
func redactURL(value string) string {
	parsed, err := url.Parse(value)
	if err != nil {
		return Hidden
	}
	return parsed.Redacted()
}

func (c *checker) logLevel(level api.SettingsLogLevel) {
	switch level {
	case api.SettingsLogLevelError, api.SettingsLogLevelWarn, api.SettingsLogLevelInfo, api.SettingsLogLevelDebug:
	default:
		c.add("log_level", string(level), "error, warn, info or debug")
	}
}

func (c *checker) limits(l api.LimitSettings) {
	c.between("limits.max_caller_connections", int64(l.MaxCallerConnections), 1, maxCallerConnections)
	c.between("limits.max_unauthenticated_connections", int64(l.MaxUnauthenticatedConnections), 1, maxCallerConnections)
	c.between("limits.max_message_bytes", int64(l.MaxMessageBytes), minMessageBytes, maxMessageBytes)
	c.between("limits.statement_timeout_ms", l.StatementTimeoutMs, minTimeoutMs, maxTimeoutMs)
	c.between("limits.idle_transaction_timeout_ms", l.IdleTransactionTimeoutMs, minTimeoutMs, maxTimeoutMs)
	c.between("limits.queue_length", int64(l.QueueLength), 1, maxQueueLength)
}

func (c *checker) between(key string, value, low, high int64) {
	if value < low || value > high {
		c.add(key, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) target(t api.TargetSettings) {
	if t.User == "" {
		c.add("target.user", t.User, "a user name")
	}
	if t.Database == "" {
		c.add("target.database", t.Database, "a database name")
	}
}

func (c *checker) tls(t api.TLSSettings) {
	if (t.CallerCertificate == "") != (t.CallerKey == "") {
		c.add("tls.caller_certificate", t.CallerCertificate, certificatePairBound)
	}
	if t.RequireCallerTLS && t.CallerCertificate == "" {
		c.add("tls.require_caller_tls", "true", requireTLSBound)
	}
	if !allOrNone(t.PeerCertificate, t.PeerKey, t.PeerAuthority) {
		c.add("tls.peer_certificate", t.PeerCertificate, peerCertificatesBound)
	}
}

func allOrNone(values ...string) bool {
	empty := 0
	for _, value := range values {
		if value == "" {
			empty++
		}
	}
	return empty == 0 || empty == len(values)
}

func (c *checker) protocol(s api.Settings) {
	switch s.Protocol {
	case api.SettingsProtocolPostgresql:
	case api.SettingsProtocolLines:
		c.fleet(s.Fleet)
	default:
		c.add("protocol", string(s.Protocol), "postgresql or lines")
	}
}

// fleet checks the settings that apply only if the protocol is "lines".
func (c *checker) fleet(f api.FleetSettings) {
	c.address("fleet.readiness_address", f.ReadinessAddress)
	if !isPlatformURL(f.PromotionURL) {
		c.add("fleet.promotion_url", redactURL(f.PromotionURL), platformBound)
	}
	if f.GraceS < minGraceS || f.GraceS > maxGraceS {
		c.add("fleet.grace_s", strconv.FormatFloat(f.GraceS, 'g', -1, 64), fmt.Sprintf("%d to %d", minGraceS, maxGraceS))
	}
	c.between("fleet.drain_timeout_ms", f.DrainTimeoutMs, minTimeoutMs, maxTimeoutMs)
	c.between("fleet.config_apply_ms", f.ConfigApplyMs, minConfigApplyMs, maxTimeoutMs)
	c.between("fleet.memory_mb", f.MemoryMb, minMemoryMb, maxMemoryMb)
	c.between("fleet.max_descriptors", f.MaxDescriptors, minDescriptors, maxDescriptors)
	c.fraction("fleet.capacity_cores", f.CapacityCores, maxCapacityCores)
	if f.RevokeMs != 0 {
		c.between("fleet.revoke_ms", f.RevokeMs, minRevokeMs, maxTimeoutMs)
	}
	c.fraction("fleet.quota_window_s", f.QuotaWindowS, maxQuotaWindowS)
	c.fraction("fleet.quota_overage", f.QuotaOverage, maxQuotaOverage)
	c.fraction("fleet.quota_slack", f.QuotaSlack, maxQuotaSlack)
}

// fraction checks a number that may have decimals, from 0 to maximum.
func (c *checker) fraction(key string, value, maximum float64) {
	if !(value >= 0 && value <= maximum) {
		c.add(key, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("0 to %g", maximum))
	}
}
