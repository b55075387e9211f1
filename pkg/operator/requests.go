package operator

import (
	"context"

	operatorclient "galenamoor/api/gen/http/operators/client"
	"galenamoor/api/gen/operators"
)

// Apply replaces the configuration if the active version is payload.BaseVersion, and returns the new version.
func (c *Client) Apply(ctx context.Context, payload *operators.ApplyPayload) (uint64, error) {
	accepted, err := call[*operators.Accepted](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Apply()(ctx, payload)
	})
	return versionOf(accepted), err
}

// Zone takes an availability zone out of service or returns it to service, and returns the new configuration version.
func (c *Client) Zone(ctx context.Context, payload *operators.ZonePayload) (uint64, error) {
	accepted, err := call[*operators.Accepted](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Zone()(ctx, payload)
	})
	return versionOf(accepted), err
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, payload *operators.SubmitPayload) error {
	_, err := call[*operators.Accepted](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Submit()(ctx, payload)
	})
	return err
}

// Cancel cancels the named jobs.
func (c *Client) Cancel(ctx context.Context, payload *operators.CancelPayload) error {
	_, err := call[*operators.Accepted](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Cancel()(ctx, payload)
	})
	return err
}

// Configuration returns the active configuration.
func (c *Client) Configuration(ctx context.Context) (*operators.ActiveConfiguration, error) {
	return call[*operators.ActiveConfiguration](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Configuration()(ctx, nil)
	})
}

// Status returns the status as seen by the first daemon that replies.
func (c *Client) Status(ctx context.Context) (*operators.DaemonStatus, error) {
	return call[*operators.DaemonStatus](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Status()(ctx, nil)
	})
}

// Jobs lists the jobs, including those of services.
func (c *Client) Jobs(ctx context.Context) ([]*operators.JobStatus, error) {
	return call[[]*operators.JobStatus](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Jobs()(ctx, nil)
	})
}

// Explain returns the reasons for the state of a task, job, call, worker or zone.
func (c *Client) Explain(ctx context.Context, kind, name string) (*operators.Explanation, error) {
	payload := &operators.ExplainPayload{Kind: kind, Name: name}
	return call[*operators.Explanation](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Explain()(ctx, payload)
	})
}

// Members returns the membership of the control log.
func (c *Client) Members(ctx context.Context) (*operators.Membership, error) {
	return call[*operators.Membership](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Members()(ctx, nil)
	})
}

// ChangeMember adds, promotes or removes one replica.
func (c *Client) ChangeMember(ctx context.Context, payload *operators.ChangeMemberPayload) (*operators.Membership, error) {
	return call[*operators.Membership](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.ChangeMember()(ctx, payload)
	})
}

// versionOf returns the version in a reply, or 0 when the request failed.
func versionOf(accepted *operators.Accepted) uint64 {
	if accepted == nil {
		return 0
	}
	return accepted.Version
}

// Burn returns the service-level objective report of all daemons.
func (c *Client) Burn(ctx context.Context) (*operators.BurnReport, error) {
	return call[*operators.BurnReport](ctx, c, func(ctx context.Context, client *operatorclient.Client) (any, error) {
		return client.Burn()(ctx, nil)
	})
}
