package certificate

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// pollInterval is the time between two looks at the files.
const pollInterval = time.Second

// Store holds the certificates and authorities of a daemon. What its settings leave out is nil.
type Store struct {
	caller            *pair
	peer              *pair
	peerAuthority     *authority
	targetAuthority   *authority
	platformAuthority *authority

	sources []source
	seen    []fingerprint
}

// Load reads all files that the settings name. The error carries SettingsInvalid and names the key.
func Load(settings api.TLSSettings) (*Store, error) {
	s := &Store{}
	s.caller = s.addPair("tls.caller_certificate", settings.CallerCertificate, settings.CallerKey)
	s.peer = s.addPair("tls.peer_certificate", settings.PeerCertificate, settings.PeerKey)
	s.peerAuthority = s.addAuthority("tls.peer_authority", settings.PeerAuthority)
	s.targetAuthority = s.addAuthority("tls.target_authority", settings.TargetAuthority)
	s.platformAuthority = s.addAuthority("tls.platform_authority", settings.PlatformAuthority)
	for _, added := range s.sources {
		// The look comes before the reading, so that a change in between is seen by the next poll.
		s.seen = append(s.seen, look(added.paths()))
		if err := added.load(); err != nil {
			return nil, result.Errorf(result.SettingsInvalid, "%s: %v", added.key(), err)
		}
	}
	return s, nil
}

func (s *Store) addPair(key, certificateFile, keyFile string) *pair {
	if certificateFile == "" {
		return nil
	}
	added := &pair{setting: key, certificateFile: certificateFile, keyFile: keyFile}
	s.sources = append(s.sources, added)
	return added
}

func (s *Store) addAuthority(key, file string) *authority {
	if file == "" {
		return nil
	}
	added := &authority{setting: key, file: file}
	s.sources = append(s.sources, added)
	return added
}

// Watch reloads files that change until ctx ends.
func (s *Store) Watch(ctx context.Context) {
	if len(s.sources) == 0 {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reload()
		}
	}
}

// reload reads the files that changed since the last look. It is not called concurrently.
func (s *Store) reload() {
	for i, changed := range s.sources {
		now := look(changed.paths())
		if now == s.seen[i] {
			continue
		}
		s.seen[i] = now
		entry := logrus.WithField(logfield.Key, changed.key())
		if err := changed.load(); err != nil {
			entry.WithField(logfield.Error, err).Error(logevent.CertificateReloadFailed)
			continue
		}
		entry.Info(logevent.CertificateReloaded)
	}
}
