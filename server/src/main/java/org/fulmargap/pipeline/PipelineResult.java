package org.fulmargap.pipeline;

import java.util.List;
import java.util.Optional;

import org.fulmargap.request.FulmargapException;

/**
 * The result of a request.
 *
 * @param failure the failure, empty if the request has an answer
 * @param output the output of the last stage, empty text after a failure
 * @param firstTokenMs the time from arrival to the first token of the last stage or, if
 * that stage streamed no token, to the end, in milliseconds
 * @param totalMs the time from arrival to the end in milliseconds
 * @param stages reports of the stages that completed
 * @param runState how much of the request may have run
 */
public record PipelineResult(Optional<FulmargapException> failure, String output, long firstTokenMs, long totalMs,
		List<StageReport> stages, RunState runState) {
}
