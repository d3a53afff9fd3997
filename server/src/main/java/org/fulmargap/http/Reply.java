package org.fulmargap.http;

import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fulmargap.config.Json;
import org.fulmargap.pipeline.RunState;
import org.fulmargap.request.FulmargapException;

/**
 * The reply to one request.
 *
 * @param status the HTTP status
 * @param body the JSON body
 * @param output the output of the pipeline, empty if the request failed
 * @param runState how much of the request may have run
 * @param failure the failure, empty if the request succeeded or the reply is the recorded
 * one of an earlier request
 */
record Reply(int status, String body, Optional<String> output, RunState runState,
		Optional<FulmargapException> failure) {

	static Reply failed(FulmargapException failure, String requestId, RunState runState) {
		ObjectNode root = Json.mapper().createObjectNode();
		ObjectNode error = root.putObject("error");
		error.put("type", failure.type().name());
		error.put("reason", failure.reason());
		error.put("message", failure.getMessage());
		error.put("request_id", requestId);
		return new Reply(failure.type().httpStatus(), root.toString(), Optional.empty(), runState,
				Optional.of(failure));
	}

	boolean hasRetryAfter() {
		return this.status == 429 || this.status == 503;
	}

}
