package org.fulmargap.pipeline;

import java.util.List;
import java.util.Optional;

import org.fulmargap.request.FulmargapException;

/**
 * The end of a request.
 *
 * @param failure the failure, empty if the request has an answer
 * @param output the output of the last stage, empty text after a failure
 * @param firstTokenMs the time until the first token or, without a stream, until the
 * answer, in milliseconds
 * @param totalMs the time from arrival to the end in milliseconds
 * @param stages the stages that delivered a result
 * @param runState how far the request got
 */
public record PipelineResult(Optional<FulmargapException> failure, String output, long firstTokenMs, long totalMs,
		List<StageReport> stages, RunState runState) {
}
