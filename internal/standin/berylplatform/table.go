package berylplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// The limits of the table service, in bytes or items, and the names of its protocol.
const (
	maxItemBytes     = 400 << 10
	maxTransactItems = 100
	maxPageItems     = 1000
	maxPageBytes     = 1 << 20
	maxTableBody     = 16 << 20
	targetPrefix     = "DynamoDB_20120810."
	jsonAmzVersion   = "application/x-amz-json-1.0"
)

// table serves GetItem, Query and TransactWriteItems on items whose keys are pk and sk.
type table struct {
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	mu sync.Mutex
	// partitions holds the partitions by table name and partition key, separated by a zero byte.
	partitions map[string]*partition
}

// partition holds the items with one partition key in one table. keys holds their sort keys in ascending order.
type partition struct {
	items map[string]attributes
	keys  []string
}

func newTable(writes, reads int) *table {
	// A limiter refuses a call that is larger than its burst, so the bursts must admit the largest transaction and page.
	return &table{
		writeLimiter: rate.NewLimiter(rate.Limit(writes), max(writes, maxTransactItems)),
		readLimiter:  rate.NewLimiter(rate.Limit(reads), max(reads, maxPageItems)),
		partitions:   make(map[string]*partition),
	}
}

func operation(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
}

// ServeHTTP decodes a call, executes it and answers with its output or error.
func (t *table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTableBody))
	if err != nil {
		(&serviceError{Type: "SerializationException", Message: err.Error()}).write(w)
		return
	}
	var (
		out  any
		fail *serviceError
	)
	switch operation(r) {
	case "GetItem":
		out, fail = handle(b, t.get)
	case "Query":
		out, fail = handle(b, t.query)
	case "TransactWriteItems":
		out, fail = handle(b, t.transact)
	default:
		fail = &serviceError{Type: "UnknownOperationException", Message: "unsupported operation"}
	}
	if fail != nil {
		fail.write(w)
		return
	}
	writeTableAnswer(w, http.StatusOK, out)
}

func handle[In any, Out any](b []byte, f func(In) (Out, *serviceError)) (any, *serviceError) {
	var in In
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, &serviceError{Type: "SerializationException", Message: err.Error()}
	}
	return f(in)
}

type getInput struct {
	TableName string
	Key       attributes
}

type getOutput struct {
	Item attributes `json:",omitempty"`
}

func (t *table) get(in getInput) (getOutput, *serviceError) {
	pk, sk, fail := in.Key.key()
	if fail != nil {
		return getOutput{}, fail
	}
	if !t.readLimiter.Allow() {
		return getOutput{}, throttled()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return getOutput{Item: t.find(in.TableName, pk, sk)}, nil
}

type queryInput struct {
	TableName                 string
	KeyConditionExpression    string
	ExpressionAttributeValues attributes
	ExclusiveStartKey         attributes
	Limit                     int
}

type queryOutput struct {
	Items            []attributes
	Count            int
	ScannedCount     int
	LastEvaluatedKey attributes `json:",omitempty"`
}

func (t *table) query(in queryInput) (queryOutput, *serviceError) {
	pk, after, fail := in.keyCondition()
	if fail != nil {
		return queryOutput{}, fail
	}
	if len(in.ExclusiveStartKey) > 0 {
		_, sk, fail := in.ExclusiveStartKey.key()
		if fail != nil {
			return queryOutput{}, fail
		}
		after = max(after, sk)
	}
	out := t.page(in.TableName, pk, after, in.Limit)
	if !t.readLimiter.AllowN(time.Now(), max(out.Count, 1)) {
		return queryOutput{}, throttled()
	}
	return out, nil
}

// keyCondition parses "pk = :p" and "pk = :p AND sk > :s"; after is empty without a condition on sk.
func (in queryInput) keyCondition() (pk, after string, fail *serviceError) {
	partition, sort, hasSortKey := strings.Cut(in.KeyConditionExpression, " AND ")
	value := func(clause, prefix string) string {
		ref, ok := strings.CutPrefix(strings.TrimSpace(clause), prefix)
		s := in.ExpressionAttributeValues[strings.TrimSpace(ref)].S
		if !ok || s == nil || *s == "" {
			fail = invalid("unsupported key condition: " + in.KeyConditionExpression)
			return ""
		}
		return *s
	}
	pk = value(partition, "pk =")
	if hasSortKey {
		after = value(sort, "sk >")
	}
	return pk, after, fail
}

// page returns the items of a partition whose sort keys are greater than after, in order, up to limit (maxPageItems if it
// is 0) and maxPageBytes.
func (t *table) page(name, pk, after string, limit int) queryOutput {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := queryOutput{Items: []attributes{}}
	p := t.partitions[name+"\x00"+pk]
	if p == nil {
		return out
	}
	if limit <= 0 || limit > maxPageItems {
		limit = maxPageItems
	}
	i, found := slices.BinarySearch(p.keys, after)
	if found {
		i++
	}
	size := 0
	for _, sk := range p.keys[i:] {
		item := t.find(name, pk, sk)
		if item == nil {
			continue
		}
		out.Items = append(out.Items, item)
		size += item.size()
		if len(out.Items) == limit || size >= maxPageBytes {
			// Like the real service, a full page has a last key even if no item follows it.
			out.LastEvaluatedKey = attributes{"pk": item["pk"], "sk": item["sk"]}
			break
		}
	}
	out.Count, out.ScannedCount = len(out.Items), len(out.Items)
	return out
}

// find returns the item, or nil if it does not exist or has expired. The caller holds t.mu, also for put and remove.
func (t *table) find(name, pk, sk string) attributes {
	p := t.partitions[name+"\x00"+pk]
	if p == nil {
		return nil
	}
	item := p.items[sk]
	if item.expired(time.Now()) {
		return nil
	}
	return item
}

func (t *table) put(name, pk, sk string, item attributes) {
	p := t.partitions[name+"\x00"+pk]
	if p == nil {
		p = &partition{items: make(map[string]attributes)}
		t.partitions[name+"\x00"+pk] = p
	}
	if _, ok := p.items[sk]; !ok {
		i, _ := slices.BinarySearch(p.keys, sk)
		p.keys = slices.Insert(p.keys, i, sk)
	}
	p.items[sk] = item
}

func (t *table) remove(name, pk, sk string) {
	p := t.partitions[name+"\x00"+pk]
	if p == nil {
		return
	}
	if i, ok := slices.BinarySearch(p.keys, sk); ok {
		p.keys = slices.Delete(p.keys, i, i+1)
	}
	delete(p.items, sk)
	if len(p.items) == 0 {
		delete(t.partitions, name+"\x00"+pk)
	}
}
