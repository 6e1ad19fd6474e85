package main

import (
	"flag"
	"net/netip"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Bounds and defaults of the settings.
const (
	defaultTimeout = 15 * time.Second
	maxTimeout     = 10 * time.Minute
	defaultAuthor  = "operator"
	// settingsSection is the section of the settings file.
	settingsSection = "operator"
)

// settings are the settings of one run. A flag takes precedence over the
// environment, and the environment over the settings file.
type settings struct {
	// platform are addresses of the platform's object API, nodes those of
	// operator endpoints of some nodes, as ip:port.
	platform, nodes []string
	timeout         time.Duration
	author          string
	json            bool
}

// rawSettings are the texts of the flags. resolve completes them from the
// environment and the settings file.
type rawSettings struct {
	config string
	texts  map[string]*string
	json   *bool
}

// settingKeys are the settings that flags, environment and file share.
var settingKeys = []struct{ key, env, about string }{
	{"platform", "HEATHERSHED_PLATFORM", "addresses of the platform's object API, ip:port, by commas"},
	{"nodes", "HEATHERSHED_NODES", "operator addresses of some nodes, ip:port, by commas"},
	{"timeout", "HEATHERSHED_TIMEOUT", "time for the whole command, such as 15s"},
	{"author", "HEATHERSHED_AUTHOR", "your name, kept with edits"},
}

func settingsFlags(flags *flag.FlagSet) *rawSettings {
	g := &rawSettings{texts: make(map[string]*string)}
	flags.StringVar(&g.config, "config", "", "settings file (INI, section ["+settingsSection+"]); or HEATHERSHED_CONFIG")
	for _, s := range settingKeys {
		g.texts[s.key] = flags.String(s.key, "", s.about+"; or "+s.env)
	}
	g.json = flags.Bool("json", false, "print JSON")
	return g
}

func (g *rawSettings) resolve(getenv func(string) string) (settings, error) {
	if g.config == "" {
		g.config = getenv("HEATHERSHED_CONFIG")
	}
	file, err := readConfig(g.config)
	if err != nil {
		return settings{}, err
	}
	s := settings{json: *g.json, timeout: defaultTimeout}
	for _, k := range settingKeys {
		text, source := *g.texts[k.key], "-"+k.key
		if text == "" {
			text, source = getenv(k.env), k.env
		}
		if text == "" {
			text, source = file[k.key], g.config+": ["+settingsSection+"] "+k.key
		}
		if text == "" {
			continue
		}
		if err := s.set(k.key, text, source); err != nil {
			return settings{}, err
		}
	}
	if s.author == "" {
		s.author = firstNonEmpty(getenv("USER"), getenv("LOGNAME"), defaultAuthor)
	}
	return s, nil
}

func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

func (s *settings) set(key, text, source string) (err error) {
	switch key {
	case "platform":
		s.platform, err = parseAddresses(text, source)
	case "nodes":
		s.nodes, err = parseAddresses(text, source)
	case "author":
		s.author = text
	case "timeout":
		s.timeout, err = time.ParseDuration(text)
		if err != nil || s.timeout <= 0 || s.timeout > maxTimeout {
			return usagef("%s: %q: want a duration with its unit, over 0 and up to %s", source, text, maxTimeout)
		}
	}
	return err
}

func parseAddresses(text, source string) ([]string, error) {
	var list []string
	for _, address := range strings.Split(text, ",") {
		address = strings.TrimSpace(address)
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usagef("%s: %q: want ip:port, such as 10.0.0.1:7070", source, address)
		}
		list = append(list, address)
	}
	return list, nil
}

// readConfig reads the settings file. It returns no settings if path is empty.
func readConfig(path string) (map[string]string, error) {
	if path == "" {
		return nil, nil
	}
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return nil, usagef("settings file: %v", err)
	}
	values := make(map[string]string)
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if section.Name() != settingsSection || !isSetting(key.Name()) {
				return nil, usagef("%s: [%s] %s: unknown key: want %s in [%s]",
					path, section.Name(), key.Name(), settingNames(), settingsSection)
			}
			values[key.Name()] = key.Value()
		}
	}
	return values, nil
}

func isSetting(key string) bool {
	for _, s := range settingKeys {
		if s.key == key {
			return true
		}
	}
	return false
}

func settingNames() string {
	names := make([]string, len(settingKeys))
	for i, s := range settingKeys {
		names[i] = s.key
	}
	return strings.Join(names, ", ")
}
