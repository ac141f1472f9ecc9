package aws

import (
	"context"
	"errors"
	"net"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// Attribute names of a row.
const (
	AttrPartition = "pk"
	AttrID        = "sk"
	AttrVersion   = "ver"
	AttrNonce     = "nonce"
	AttrValue     = "val"
)

// Condition expressions of transactions, and their parameter.
const (
	CondAbsent   = "attribute_not_exists(pk)"
	CondVersion  = "ver = :ver"
	ParamVersion = ":ver"
	// ReasonCondition is the cancellation reason for a condition that is not met.
	ReasonCondition = "ConditionalCheckFailed"
)

type item = map[string]types.AttributeValue

var _ store.Table = (*Client)(nil)

// Get returns the newest committed row.
func (c *Client) Get(ctx context.Context, key store.Key) (store.Row, error) {
	out, err := c.table.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(c.config.Table),
		Key:            keyItem(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return store.Row{}, vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "get %s/%s", key.Partition, key.ID)
	}
	if len(out.Item) == 0 {
		return store.Row{}, vaneyoke.Err(vaneyoke.CodeNotFound, "no row %s/%s", key.Partition, key.ID)
	}
	return rowOf(out.Item), nil
}

// Scan returns up to limit rows of a partition whose ids come after the given one.
func (c *Client) Scan(ctx context.Context, partition, after string, limit int) (store.Page, error) {
	in := &dynamodb.QueryInput{
		TableName:                 aws.String(c.config.Table),
		KeyConditionExpression:    aws.String(AttrPartition + " = :pk"),
		ExpressionAttributeValues: item{":pk": text(partition)},
		ConsistentRead:            aws.Bool(true),
		Limit:                     aws.Int32(int32(limit)),
	}
	if after != "" {
		in.ExclusiveStartKey = keyItem(store.Key{Partition: partition, ID: after})
	}
	out, err := c.table.Query(ctx, in)
	if err != nil {
		return store.Page{}, vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "scan %s", partition)
	}
	var page store.Page
	for _, i := range out.Items {
		page.Rows = append(page.Rows, rowOf(i))
	}
	page.Next = textOf(out.LastEvaluatedKey[AttrID])
	return page, nil
}

// Commit applies all writes of a transaction or none.
func (c *Client) Commit(ctx context.Context, tx store.Tx) error {
	in := &dynamodb.TransactWriteItemsInput{ClientRequestToken: aws.String(string(tx.Nonce))}
	for _, w := range tx.Writes {
		in.TransactItems = append(in.TransactItems, c.writeItem(tx.Nonce, w))
	}
	_, err := c.table.TransactWriteItems(ctx, in)
	return commitError(err)
}

func (c *Client) writeItem(nonce store.Nonce, w store.Write) types.TransactWriteItem {
	table := aws.String(c.config.Table)
	switch w := w.(type) {
	case store.Put:
		expr, values := condition(w.If)
		return types.TransactWriteItem{Put: &types.Put{
			TableName: table, Item: rowItem(nonce, w), ConditionExpression: expr, ExpressionAttributeValues: values,
		}}
	case store.Delete:
		expr, values := condition(w.If)
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: table, Key: keyItem(w.Key), ConditionExpression: expr, ExpressionAttributeValues: values,
		}}
	case store.Check:
		expr, values := condition(w.If)
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: table, Key: keyItem(w.Key), ConditionExpression: expr, ExpressionAttributeValues: values,
		}}
	}
	return types.TransactWriteItem{}
}

func condition(c store.Condition) (*string, item) {
	if c.Version == 0 {
		return aws.String(CondAbsent), nil
	}
	return aws.String(CondVersion), item{ParamVersion: number(c.Version)}
}

// commitError maps an error of a commit to a code: the transaction was rejected, was not applied, or its outcome is unknown.
func commitError(err error) error {
	if err == nil {
		return nil
	}
	if canceled, ok := errors.AsType[*types.TransactionCanceledException](err); ok {
		return vaneyoke.WrapErr(canceledCode(canceled), err, "commit")
	}
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "commit")
	}
	if api, ok := errors.AsType[smithy.APIError](err); ok && api.ErrorFault() == smithy.FaultClient {
		return vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "commit")
	}
	return vaneyoke.WrapErr(vaneyoke.CodeStoreUnknown, err, "commit")
}

// canceledCode returns CodeStoreRace if a condition was not met, and otherwise CodeStoreDown, for a store that is too busy.
func canceledCode(err *types.TransactionCanceledException) vaneyoke.Code {
	for _, reason := range err.CancellationReasons {
		if aws.ToString(reason.Code) == ReasonCondition {
			return vaneyoke.CodeStoreRace
		}
	}
	return vaneyoke.CodeStoreDown
}

func keyItem(key store.Key) item {
	return item{AttrPartition: text(key.Partition), AttrID: text(key.ID)}
}

func rowItem(nonce store.Nonce, w store.Put) item {
	i := keyItem(w.Key)
	i[AttrVersion] = number(w.If.Version + 1)
	i[AttrNonce] = text(string(nonce))
	i[AttrValue] = &types.AttributeValueMemberB{Value: w.Value}
	return i
}

func rowOf(i item) store.Row {
	row := store.Row{
		Key:   store.Key{Partition: textOf(i[AttrPartition]), ID: textOf(i[AttrID])},
		Nonce: store.Nonce(textOf(i[AttrNonce])),
	}
	if n, ok := i[AttrVersion].(*types.AttributeValueMemberN); ok {
		v, _ := strconv.ParseUint(n.Value, 10, 64)
		row.Version = store.Version(v)
	}
	if b, ok := i[AttrValue].(*types.AttributeValueMemberB); ok {
		row.Value = b.Value
	}
	return row
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func textOf(v types.AttributeValue) string {
	if s, ok := v.(*types.AttributeValueMemberS); ok {
		return s.Value
	}
	return ""
}

func number(v store.Version) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(v), 10)}
}
