package org.fulmargap.http;

import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

import com.codahale.metrics.MetricRegistry;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.ledger.ClaimService;
import org.fulmargap.ledger.ConfigService;
import org.fulmargap.pipeline.PipelineExecutor;
import org.fulmargap.timeline.Invariants;
import org.fulmargap.timeline.Timeline;

/**
 * What the caller API needs to handle requests.
 *
 * @param incarnation the incarnation of the entry VM
 * @param maxBodyBytes the longest body
 * @param keyLifetimeMs the lifetime of idempotency keys in milliseconds
 * @param config the configuration
 * @param claims the claims of non-idempotent requests
 * @param gate says whether requests may run at present
 * @param admission admits requests
 * @param expectedMs the expected time of a pipeline in milliseconds
 * @param executor runs admitted requests
 * @param workers the threads that run admitted requests
 * @param callbacks the threads that go on after a claim or a refusal
 * @param timeline receives the events of requests
 * @param invariants checks conditions that must always hold
 * @param metrics counts requests and their ends
 * @param clock the source of the present time in milliseconds since the epoch
 */
public record CallerServices(String incarnation, int maxBodyBytes, long keyLifetimeMs, ConfigService config,
		ClaimService claims, ServiceGate gate, Admission admission, ToLongFunction<PipelineSpec> expectedMs,
		PipelineExecutor executor, Executor workers, Executor callbacks, Timeline timeline, Invariants invariants,
		MetricRegistry metrics, LongSupplier clock) {
}
