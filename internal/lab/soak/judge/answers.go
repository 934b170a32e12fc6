package judge

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	recordBytes     = 16
	recordsOfServer = 6
	// ResultLimit is how many records of a gathered answer the configurations ask for.
	ResultLimit = 8
)

// BodyOf is what a stand-in server answers a single request with: nobody else's body is the same.
func BodyOf(server, attempt string) string { return server + " answers " + attempt }

// RecordsOf is what a stand-in server answers a part of a gathered request with.
func RecordsOf(server, attempt string) []string {
	records := make([]string, recordsOfServer)
	for i := range records {
		var raw [recordBytes / 2]byte
		binary.BigEndian.PutUint64(raw[:], xxhash.Sum64String(server+"/"+attempt+"/"+string(rune('a'+i))))
		records[i] = hex.EncodeToString(raw[:])
	}
	return records
}

// StampOf is a stand-in server's signature of an answer.
func StampOf(server, attempt string) string { return "s." + server + "." + attempt }

// serverOf returns the server that signed an answer to an attempt.
func serverOf(stamp, attempt string) (server string, ok bool) {
	server, ok = strings.CutPrefix(stamp, "s.")
	if !ok {
		return "", false
	}
	return strings.CutSuffix(server, "."+attempt)
}

// judgeAnswers holds each success against what its servers said.
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
	j.find(RuleMixed, r.EndedAt, r.Proxy, r.Attempt, "%s: the answer %.60q with stamps %v is not this request's", r.Prefix, r.Body, r.Stamps)
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
			j.find(RuleMixed, r.EndedAt, r.Proxy, r.Attempt, "%s: the part %q is no answer to this request, or the second of its shard", r.Prefix, stamp)
			return
		}
		services = append(services, service)
		records = append(records, RecordsOf(server, r.Attempt)...)
	}
	slices.Sort(records)
	slices.Reverse(records)
	if want := strings.Join(records[:min(ResultLimit, len(records))], ""); r.Body != want {
		j.find(RuleMixed, r.EndedAt, r.Proxy, r.Attempt, "%s: the body is not the greatest %d records of its %d parts", r.Prefix, ResultLimit, len(services))
	}
	if !j.isShardSet(r, len(services)+r.Missing) {
		j.find(RuleMixed, r.EndedAt, r.Proxy, r.Attempt, "%s: %d parts and %d missing make up no configuration's set of shards", r.Prefix, len(services), r.Missing)
	}
}

func (j *judge) isShardSet(r Request, shards int) bool {
	return slices.ContainsFunc(j.valid, func(c Change) bool {
		route, exists := c.Routes[r.Prefix]
		return exists && c.SentAt <= r.EndedAt && len(route.Services) == shards
	})
}
