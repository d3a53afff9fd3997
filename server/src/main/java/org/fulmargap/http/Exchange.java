package org.fulmargap.http;

import java.util.Optional;

import org.fulmargap.config.AccountSpec;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.endpoint.TokenSink;
import org.fulmargap.ledger.ClaimService;
import org.fulmargap.ledger.ConfigService;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.Priority;

/**
 * State of one request while the filters handle it. Each filter sets the fields that it
 * has checked. The chain runs one filter at a time, so the fields need no lock.
 */
final class Exchange {

	final String incarnation;

	final long number;

	final long arrivedAtMs;

	final CallerRequest callerRequest;

	final ConfigService.View configView;

	byte[] body = new byte[0];

	String accountName = "";

	AccountSpec account;

	String pipelineName = "";

	PipelineSpec pipeline;

	String input = "";

	boolean streamed;

	Deadline deadline;

	Priority priority = Priority.NORMAL;

	Optional<String> idempotencyKey = Optional.empty();

	String digest = "";

	String fingerprint = "";

	Optional<ClaimService.Handle> claim = Optional.empty();

	boolean ownDomainOnly;

	TokenSink sink = TokenSink.NONE;

	Exchange(String incarnation, long number, long arrivedAtMs, CallerRequest callerRequest,
			ConfigService.View configView) {
		this.incarnation = incarnation;
		this.number = number;
		this.arrivedAtMs = arrivedAtMs;
		this.callerRequest = callerRequest;
		this.configView = configView;
	}

	String requestId() {
		return this.incarnation + "/" + this.number;
	}

}
