package org.fulmargap.pipeline;

import java.util.Optional;

import org.fulmargap.config.Configuration;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.endpoint.TokenSink;
import org.fulmargap.ledger.ClaimService;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.Priority;

/**
 * A request that was admitted and is ready to run.
 *
 * @param incarnation the incarnation of the entry VM
 * @param number the number of the request within the incarnation
 * @param pipelineName the name of the pipeline
 * @param pipeline the pipeline
 * @param configuration the configuration that the request started with
 * @param configVersion the version of that configuration
 * @param input the input of the first stage
 * @param priority the priority
 * @param deadline the deadline
 * @param acceptedAtMs the time at which the request arrived, milliseconds since the epoch
 * @param fingerprint the SHA-256 digest of account, pipeline and body, in hexadecimal
 * @param idempotencyKey the idempotency key, if the caller sent one
 * @param claim the claim of a non-idempotent request, empty for an idempotent one
 * @param sink receives the tokens of the last stage
 * @param ownDomainOnly whether only endpoints of the entry VM's failure domain may be
 * used
 */
public record PipelineRequest(String incarnation, long number, String pipelineName, PipelineSpec pipeline,
		Configuration configuration, long configVersion, String input, Priority priority, Deadline deadline,
		long acceptedAtMs, String fingerprint, Optional<String> idempotencyKey, Optional<ClaimService.Handle> claim,
		TokenSink sink, boolean ownDomainOnly) {

	/**
	 * Returns the id of the request.
	 * @return the incarnation and the number, separated by a slash
	 */
	public String requestId() {
		return this.incarnation + "/" + this.number;
	}

}
