package aws

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// Objects is the platform's object store.
type Objects struct{ client *Client }

var _ store.Objects = (*Objects)(nil)

// Objects returns the platform's object store.
func (c *Client) Objects() *Objects { return &Objects{client: c} }

// Put stores an object under a name.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.client.objects.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(o.client.config.Bucket),
		Key:    aws.String(name),
		Body:   bytes.NewReader(data),
	})
	return vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "put object %s", name)
}

// Get returns an object's data.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := o.client.objects.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(o.client.config.Bucket),
		Key:    aws.String(name),
	})
	if _, ok := errors.AsType[*types.NoSuchKey](err); ok {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeNotFound, err, "get object %s", name)
	}
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "get object %s", name)
	}
	defer func() { _ = out.Body.Close() }()
	data, err := io.ReadAll(out.Body)
	return data, vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "read object %s", name)
}
