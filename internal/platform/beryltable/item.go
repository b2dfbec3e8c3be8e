package beryltable

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/beryllatch/beryllatch"
)

type item = map[string]types.AttributeValue

func encodeNumber[N uint64 | int64](n N) types.AttributeValue {
	if n < 0 {
		return &types.AttributeValueMemberN{Value: strconv.FormatInt(int64(n), 10)}
	}
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(n), 10)}
}

func encodeKey(k beryllatch.RowKey) item {
	return item{
		"pk": &types.AttributeValueMemberS{Value: k.Partition},
		"sk": &types.AttributeValueMemberS{Value: k.Sort},
	}
}

func encodeRow(r beryllatch.Row) item {
	m := encodeKey(r.Key)
	m["ver"] = encodeNumber(r.Version)
	// A nil value would be sent as null, and the table would store an attribute that is not binary.
	m["val"] = &types.AttributeValueMemberB{Value: append([]byte{}, r.Value...)}
	if r.Expires != 0 {
		m["ttl"] = encodeNumber(r.Expires)
	}
	return m
}

func decodeRow(m item) (beryllatch.Row, error) {
	var r beryllatch.Row
	pk, ok := m["pk"].(*types.AttributeValueMemberS)
	if !ok {
		return r, &MalformedRowError{Attribute: "pk"}
	}
	r.Key.Partition = pk.Value
	sk, ok := m["sk"].(*types.AttributeValueMemberS)
	if !ok {
		return r, &MalformedRowError{Key: r.Key, Attribute: "sk"}
	}
	r.Key.Sort = sk.Value
	ver, ok := m["ver"].(*types.AttributeValueMemberN)
	if !ok {
		return r, &MalformedRowError{Key: r.Key, Attribute: "ver"}
	}
	v, err := strconv.ParseUint(ver.Value, 10, 64)
	if err != nil || v == 0 {
		return r, &MalformedRowError{Key: r.Key, Attribute: "ver"}
	}
	r.Version = v
	val, ok := m["val"].(*types.AttributeValueMemberB)
	if !ok {
		return r, &MalformedRowError{Key: r.Key, Attribute: "val"}
	}
	r.Value = val.Value
	if m["ttl"] != nil {
		ttl, ok := m["ttl"].(*types.AttributeValueMemberN)
		if !ok {
			return r, &MalformedRowError{Key: r.Key, Attribute: "ttl"}
		}
		if r.Expires, err = strconv.ParseInt(ttl.Value, 10, 64); err != nil {
			return r, &MalformedRowError{Key: r.Key, Attribute: "ttl"}
		}
	}
	return r, nil
}

// itemSize returns the size of the stored item by the service's rules: the lengths of all attribute names and values, with
// the largest size that a number can have.
func itemSize(r beryllatch.Row) int {
	const numberBytes = 21
	return len("pk") + len(r.Key.Partition) + len("sk") + len(r.Key.Sort) +
		len("val") + len(r.Value) + len("ver") + numberBytes + len("ttl") + numberBytes
}
