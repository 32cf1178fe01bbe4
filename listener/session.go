package listener

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/statement"
	"github.com/kingcupknot/kingcupknot/token"
)

// settings are the kingcupknot settings of a session or of one request.
type settings struct {
	Session catalog.SessionID
	// Floor is the largest position of the tokens that the caller sent. It never
	// decreases.
	Floor catalog.Position
	// HasToken is set once the caller has sent a token. An empty token resets it.
	HasToken bool
	// MaxAge is the maximum age of data that reads accept, which may be zero. It
	// holds if HasMaxAge is set.
	MaxAge    time.Duration
	HasMaxAge bool
	Class     node.Class
	// Deadline is the time from the arrival of a request to its deadline, zero if
	// the caller set none.
	Deadline    time.Duration
	RequestID   string
	Traceparent string
}

// maxRequestID is the longest request id, in bytes.
const maxRequestID = 256

// classNames are the values of the setting class.
var classNames = map[string]node.Class{
	"booking": node.ClassBooking,
	"normal":  node.ClassNormal,
	"browse":  node.ClassBrowse,
}

// set sets the value of a setting. The name has no prefix.
func (s *settings) set(key []byte, service catalog.ServiceID, name, value string) *fault {
	switch name {
	case "session":
		if len(value) > token.MaxSessionBytes {
			return &fault{Code: codeInvalidParameter, Text: "the session id is longer than " + strconv.Itoa(token.MaxSessionBytes) + " bytes"}
		}
		s.Session = catalog.SessionID(value)
	case "token":
		return s.setToken(key, service, value)
	case "max-age", "max_age":
		f := setDuration(&s.MaxAge, name, value)
		if f == nil {
			s.HasMaxAge = value != ""
		}
		return f
	case "deadline":
		return setDuration(&s.Deadline, name, value)
	case "class":
		class, ok := classNames[value]
		if !ok {
			return &fault{Code: codeInvalidParameter, Text: "the class must be booking, normal or browse"}
		}
		s.Class = class
	case "request":
		if len(value) > maxRequestID {
			return &fault{Code: codeInvalidParameter, Text: "the request id is longer than " + strconv.Itoa(maxRequestID) + " bytes"}
		}
		s.RequestID = value
	case "traceparent":
		s.Traceparent = value
	default:
		return &fault{Code: codeInvalidParameter, Text: "kingcupknot has no setting " + strconv.Quote(name)}
	}
	return nil
}

func (s *settings) setToken(key []byte, service catalog.ServiceID, text string) *fault {
	if text == "" {
		s.HasToken = false
		return nil
	}
	t, err := token.Verify(key, service, text)
	if err != nil {
		return &fault{Code: codeInvalidAuthorization, Text: err.Error(), Hint: "give back the token as it was reported"}
	}
	if s.Session != "" && t.Session != "" && t.Session != s.Session {
		return &fault{Code: codeInvalidAuthorization, Text: "the token belongs to another session"}
	}
	if s.Floor.Less(t.Position) {
		s.Floor = t.Position
	}
	s.HasToken = true
	if s.Session == "" {
		s.Session = t.Session
	}
	return nil
}

func setDuration(d *time.Duration, name, value string) *fault {
	if value == "" || value == "0" {
		*d = 0
		return nil
	}
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < 0 {
		return &fault{Code: codeInvalidParameter, Text: name + " must be a length of time such as 500ms"}
	}
	*d = parsed
	return nil
}

// get returns the value of a setting for SHOW. The name has no prefix.
func (s *settings) get(name string) string {
	switch name {
	case "session":
		return string(s.Session)
	case "max-age", "max_age":
		if !s.HasMaxAge {
			return ""
		}
		return s.MaxAge.String()
	case "deadline":
		return s.Deadline.String()
	case "class":
		for text, class := range classNames {
			if class == s.Class {
				return text
			}
		}
	}
	return ""
}

// withHints returns the settings for one request: those of the session, changed
// by the hints in the request's text.
func (s *settings) withHints(key []byte, service catalog.ServiceID, text string) (settings, *fault) {
	out := *s
	for _, h := range statement.ParseHints(text) {
		if f := out.set(key, service, h.Name, h.Value); f != nil {
			return out, f
		}
	}
	return out, nil
}

// startupSettings returns the settings of a startup message in the order in which
// they must be applied: the session before its token.
func startupSettings(parameters map[string]string) []statement.Hint {
	out := optionSettings(parameters["options"])
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		switch {
		case name == "user" || name == "database" || name == "options" || strings.HasPrefix(name, "_pq_."):
		case name == "replication" && parameters[name] == "false":
		default:
			out = append(out, statement.Hint{Name: strings.ToLower(name), Value: parameters[name]})
		}
	}
	return out
}

// optionSettings parses the settings in the startup parameter options, given as
// "-c name=value" or "--name=value".
func optionSettings(options string) []statement.Hint {
	var out []statement.Hint
	words := strings.Fields(options)
	for i := 0; i < len(words); i++ {
		text := words[i]
		switch {
		case text == "-c" && i+1 < len(words):
			i++
			text = words[i]
		case strings.HasPrefix(text, "-c"):
			text = text[2:]
		case strings.HasPrefix(text, "--"):
			text = text[2:]
		default:
			continue
		}
		name, value, _ := strings.Cut(text, "=")
		out = append(out, statement.Hint{Name: strings.ToLower(name), Value: value})
	}
	return out
}
