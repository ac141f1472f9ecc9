package aws

import (
	"net/http"
	"sync"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"github.com/vaneyoke/vaneyoke/internal/httpcheck"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// Config holds the addresses and credentials of the platform's services.
type Config struct {
	TableURL  string
	ObjectURL string
	VMsURL    string // URL of the JSON list
	Region    string
	AccessKey string
	SecretKey string
	Table     string // name of the table that holds all rows
	Bucket    string // name of the bucket that holds all objects
}

// Client is a client of the platform's table, object store and list of VMs.
type Client struct {
	config  Config
	table   *dynamodb.Client
	objects *s3.Client
	http    *http.Client

	vmsMu sync.Mutex
	vms   []store.VM // last received list
	etag  string     // ETag of the last received list
}

// New returns a client that uses the given HTTP client. It does not retry. Responses that violate HTTP are errors, whatever they say.
func New(config Config, client *http.Client) *Client {
	client = httpcheck.Client(client)
	keys := credentials.NewStaticCredentialsProvider(config.AccessKey, config.SecretKey, "")
	table := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(config.TableURL),
		Region:       config.Region,
		Credentials:  keys,
		HTTPClient:   client,
		Retryer:      aws.NopRetryer{},
	})
	objects := s3.New(s3.Options{
		BaseEndpoint:               aws.String(config.ObjectURL),
		Region:                     config.Region,
		Credentials:                keys,
		HTTPClient:                 client,
		Retryer:                    aws.NopRetryer{},
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Client{config: config, table: table, objects: objects, http: client}
}
