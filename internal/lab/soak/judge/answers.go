package judge

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	recordBytes      = 16
	recordsPerServer = 6
	// ResultLimit is the result limit of fan-out routes in the configurations, in records.
	ResultLimit = 8
)

// BodyOf returns the body of a stand-in server's response to a single request. It is unique to the
// server and the attempt.
func BodyOf(server, attempt string) string { return server + " answers " + attempt }

// RecordsOf returns the records of a stand-in server's response to one part of a fan-out request.
func RecordsOf(server, attempt string) []string {
	records := make([]string, recordsPerServer)
	for i := range records {
		var raw [recordBytes / 2]byte
		binary.BigEndian.PutUint64(raw[:], xxhash.Sum64String(server+"/"+attempt+"/"+string(rune('a'+i))))
		records[i] = hex.EncodeToString(raw[:])
	}
	return records
}

// StampOf returns a stand-in server's signature of a response.
func StampOf(server, attempt string) string { return "s." + server + "." + attempt }

// serverOf returns the server that signed a response to an attempt. ok is false if the signature is
// malformed or belongs to another attempt.
func serverOf(stamp, attempt string) (server string, ok bool) {
	server, ok = strings.CutPrefix(stamp, "s.")
	if !ok {
		return "", false
	}
	return strings.CutSuffix(server, "."+attempt)
}

// judgeAnswers compares each successful response with the responses of its servers.
func (j *judge) judgeAnswers() {
	for _, r := range j.Requests {
		if r.Status != 200 {
			continue
		}
		if r.Gathered {
			j.judgeGathered(r)
		} else {
			j.judgeSingle(r)
		}
	}
}

func (j *judge) judgeSingle(r Request) {
	if len(r.Stamps) == 1 {
		if server, ok := serverOf(r.Stamps[0], r.Attempt); ok && r.Body == BodyOf(server, r.Attempt) {
			return
		}
	}
	j.report(RuleMixed, r.EndedAt, r.Proxy, r.Attempt, "%s: the response %.60q with signatures %v does not belong to this request", r.Prefix, r.Body, r.Stamps)
}

func (j *judge) judgeGathered(r Request) {
	var services, records []string
	serviceOf := make(map[string]string)
	for _, run := range j.runs[r.Attempt] {
		serviceOf[run.Server] = run.Service
	}
	for _, stamp := range r.Stamps {
		server, ok := serverOf(stamp, r.Attempt)
		service, ran := serviceOf[server]
		if !ok || !ran || slices.Contains(services, service) {
			j.report(RuleMixed, r.EndedAt, r.Proxy, r.Attempt, "%s: the part with signature %q does not belong to this request, or is the second of its shard", r.Prefix, stamp)
			return
		}
		services = append(services, service)
		records = append(records, RecordsOf(server, r.Attempt)...)
	}
	slices.Sort(records)
	slices.Reverse(records)
	if want := strings.Join(records[:min(ResultLimit, len(records))], ""); r.Body != want {
		j.report(RuleMixed, r.EndedAt, r.Proxy, r.Attempt, "%s: the body is not the %d greatest records of its %d parts", r.Prefix, ResultLimit, len(services))
	}
	if !j.isCompleteShardSet(r, len(services)+r.Missing) {
		j.report(RuleMixed, r.EndedAt, r.Proxy, r.Attempt, "%s: %d parts and %d missing parts do not add up to the shards of any configuration", r.Prefix, len(services), r.Missing)
	}
}

func (j *judge) isCompleteShardSet(r Request, shards int) bool {
	return slices.ContainsFunc(j.valid, func(c Change) bool {
		route, exists := c.Routes[r.Prefix]
		return exists && c.SentAt <= r.EndedAt && len(route.Services) == shards
	})
}
