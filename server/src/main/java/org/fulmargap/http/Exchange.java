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
 * One request of a caller on its way through the filters. Each filter sets the fields
 * that it has checked; the chain runs one filter at a time.
 */
final class Exchange {

	final String incarnation;

	final long number;

	final long arrivedAtMs;

	final CallerInput caller;

	final ConfigService.View view;

	byte[] body = new byte[0];

	String accountName = "";

	AccountSpec account;

	String pipelineName = "";

	PipelineSpec pipeline;

	String input = "";

	boolean stream;

	Deadline deadline;

	Priority priority = Priority.NORMAL;

	Optional<String> key = Optional.empty();

	String digest = "";

	String fingerprint = "";

	Optional<ClaimService.Handle> claim = Optional.empty();

	boolean ownDomainOnly;

	TokenSink sink = TokenSink.NONE;

	Exchange(String incarnation, long number, long arrivedAtMs, CallerInput caller, ConfigService.View view) {
		this.incarnation = incarnation;
		this.number = number;
		this.arrivedAtMs = arrivedAtMs;
		this.caller = caller;
		this.view = view;
	}

	String requestId() {
		return this.incarnation + "/" + this.number;
	}

}
