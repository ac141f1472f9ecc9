package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
	"github.com/vaneyoke/vaneyoke/wire/store/aws"
)

const mediaTable = "application/x-amz-json-1.0"

// attribute is an attribute value in the table's wire format.
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
	B []byte `json:"B,omitempty"`
}

type attributes map[string]attribute

// tableRequest holds the fields of all operations that the store adapter sends.
type tableRequest struct {
	Key                       attributes       `json:"Key"`
	ExclusiveStartKey         attributes       `json:"ExclusiveStartKey"`
	ExpressionAttributeValues attributes       `json:"ExpressionAttributeValues"`
	Limit                     int              `json:"Limit"`
	ClientRequestToken        store.Nonce      `json:"ClientRequestToken"`
	TransactItems             []transactMember `json:"TransactItems"`
}

// transactMember is one write of a transaction; exactly one of its fields is set.
type transactMember struct {
	Put            *tableWrite `json:"Put"`
	Delete         *tableWrite `json:"Delete"`
	ConditionCheck *tableWrite `json:"ConditionCheck"`
}

type tableWrite struct {
	Key                       attributes `json:"Key"`
	Item                      attributes `json:"Item"`
	ConditionExpression       string     `json:"ConditionExpression"`
	ExpressionAttributeValues attributes `json:"ExpressionAttributeValues"`
}

type tableReply struct {
	Item             attributes   `json:"Item,omitempty"`
	Items            []attributes `json:"Items,omitempty"`
	LastEvaluatedKey attributes   `json:"LastEvaluatedKey,omitempty"`
}

type tableFailure struct {
	Type    string         `json:"__type"`
	Message string         `json:"message"`
	Reasons []tableReasons `json:"CancellationReasons,omitempty"`
}

type tableReasons struct{ Code string }

// table handles one operation of the table's protocol.
func (p *Platform) table(w http.ResponseWriter, r *http.Request) {
	var req tableRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeTable(w, http.StatusBadRequest, tableFailure{Type: "SerializationException", Message: err.Error()})
		return
	}
	_, operation, _ := strings.Cut(r.Header.Get(targetHeader), ".")
	switch operation {
	case "GetItem":
		p.getItem(w, r, &req)
	case "Query":
		p.query(w, r, &req)
	case "TransactWriteItems":
		p.transact(w, r, &req)
	default:
		writeTable(w, http.StatusBadRequest, tableFailure{Type: "ValidationException", Message: "unknown operation " + operation})
	}
}

func writeTable(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", mediaTable)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platform) getItem(w http.ResponseWriter, r *http.Request, req *tableRequest) {
	p.reads.Add(1)
	row, err := p.Memory.Get(r.Context(), req.Key.key())
	if err != nil {
		writeTable(w, http.StatusOK, tableReply{})
		return
	}
	writeTable(w, http.StatusOK, tableReply{Item: attributesOf(row)})
}

func (p *Platform) query(w http.ResponseWriter, r *http.Request, req *tableRequest) {
	p.reads.Add(1)
	partition := req.ExpressionAttributeValues[":pk"].S
	page, _ := p.Memory.Scan(r.Context(), partition, req.ExclusiveStartKey[aws.AttrID].S, req.Limit)
	reply := tableReply{}
	for _, row := range page.Rows {
		reply.Items = append(reply.Items, attributesOf(row))
	}
	if page.Next != "" {
		reply.LastEvaluatedKey = keyOf(store.Key{Partition: partition, ID: page.Next})
	}
	writeTable(w, http.StatusOK, reply)
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request, req *tableRequest) {
	tx := store.Tx{Nonce: req.ClientRequestToken}
	for _, member := range req.TransactItems {
		tx.Writes = append(tx.Writes, member.write())
	}
	p.writes.Add(int64(len(tx.Writes)))
	err := p.Memory.Commit(r.Context(), tx)
	if p.shouldLoseReply() {
		panic(http.ErrAbortHandler)
	}
	if vaneyoke.CodeOf(err) == vaneyoke.CodeStoreRace {
		writeTable(w, http.StatusBadRequest, tableFailure{
			Type:    "TransactionCanceledException",
			Message: err.Error(),
			Reasons: []tableReasons{{Code: aws.ReasonCondition}},
		})
		return
	}
	writeTable(w, http.StatusOK, tableReply{})
}

func (m transactMember) write() store.Write {
	switch {
	case m.Put != nil:
		return store.Put{Key: m.Put.Item.key(), Value: m.Put.Item[aws.AttrValue].B, If: m.Put.condition()}
	case m.Delete != nil:
		return store.Delete{Key: m.Delete.Key.key(), If: m.Delete.condition()}
	case m.ConditionCheck != nil:
		return store.Check{Key: m.ConditionCheck.Key.key(), If: m.ConditionCheck.condition()}
	}
	return nil
}

func (w *tableWrite) condition() store.Condition {
	if w.ConditionExpression == aws.CondAbsent {
		return store.IfAbsent()
	}
	version, _ := strconv.ParseUint(w.ExpressionAttributeValues[aws.ParamVersion].N, 10, 64)
	return store.IfVersion(store.Version(version))
}

func (a attributes) key() store.Key {
	return store.Key{Partition: a[aws.AttrPartition].S, ID: a[aws.AttrID].S}
}

func keyOf(key store.Key) attributes {
	return attributes{aws.AttrPartition: {S: key.Partition}, aws.AttrID: {S: key.ID}}
}

func attributesOf(row store.Row) attributes {
	a := keyOf(row.Key)
	a[aws.AttrVersion] = attribute{N: strconv.FormatUint(uint64(row.Version), 10)}
	a[aws.AttrNonce] = attribute{S: string(row.Nonce)}
	a[aws.AttrValue] = attribute{B: row.Value}
	return a
}
