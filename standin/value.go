package standin

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Object ids of the types that the stand-in supports.
const (
	oidBool   = 16
	oidInt8   = 20
	oidInt2   = 21
	oidInt4   = 23
	oidText   = 25
	oidFloat8 = 701
	oidVoid   = 2278
	oidLSN    = 3220
)

// column is the name and type of a column in a result.
type column struct {
	name string
	oid  uint32
}

// operand is a literal or, if param is not zero, the parameter with this
// number.
type operand struct {
	text  string
	param int
}

func (o operand) value(args []string) string {
	if o.param == 0 {
		return o.text
	}
	return args[o.param-1]
}

func parseOperand(s string) operand {
	switch {
	case strings.HasPrefix(s, "$"):
		n, _ := strconv.Atoi(s[1:])
		return operand{param: n}
	case strings.HasPrefix(s, "'"):
		return operand{text: strings.ReplaceAll(s[1:len(s)-1], "''", "'")}
	default:
		return operand{text: s}
	}
}

// formatCode returns the format code of value i. In the protocol, an empty list
// of codes means text, and a single code applies to all values.
func formatCode(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return pgproto3.TextFormat
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return pgproto3.TextFormat
}

// decodeParam converts a parameter from its wire format to text.
func decodeParam(raw []byte, format int16, oid uint32) (string, error) {
	if format == pgproto3.TextFormat || oid == oidText {
		return string(raw), nil
	}
	switch {
	case len(raw) == 2 && oid == oidInt2:
		return strconv.Itoa(int(int16(binary.BigEndian.Uint16(raw)))), nil
	case len(raw) == 4 && oid == oidInt4:
		return strconv.Itoa(int(int32(binary.BigEndian.Uint32(raw)))), nil
	case len(raw) == 8 && oid == oidInt8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10), nil
	case len(raw) == 8 && oid == oidFloat8:
		return strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(raw)), 'g', -1, 64), nil
	case len(raw) == 1 && oid == oidBool:
		return boolText(raw[0] != 0), nil
	}
	return "", newSQLError(codeProtocolViolation, "no binary format for type %d", oid)
}

// encodeValue converts a value from text to its wire format.
func encodeValue(v string, format int16, oid uint32) []byte {
	if format == pgproto3.TextFormat {
		return []byte(v)
	}
	switch oid {
	case oidBool:
		if v == "t" {
			return []byte{1}
		}
		return []byte{0}
	case oidInt4:
		n, _ := strconv.ParseInt(v, 10, 32)
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	case oidInt8:
		n, _ := strconv.ParseInt(v, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case oidLSN:
		return binary.BigEndian.AppendUint64(nil, parseLSN(v))
	}
	return []byte(v)
}

func boolText(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

// formatLSN formats an offset like PostgreSQL's pg_lsn type.
func formatLSN(offset uint64) string {
	high := strconv.FormatUint(offset>>32, 16)
	low := strconv.FormatUint(offset&math.MaxUint32, 16)
	return strings.ToUpper(high + "/" + low)
}

func parseLSN(s string) uint64 {
	high, low, _ := strings.Cut(s, "/")
	h, _ := strconv.ParseUint(high, 16, 32)
	l, _ := strconv.ParseUint(low, 16, 32)
	return h<<32 | l
}
