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
 * The services and settings that the caller API uses.
 *
 * @param incarnation the incarnation of the entry VM
 * @param maxBodyBytes the maximum length of a request body in bytes
 * @param keyLifetimeMs the lifetime of idempotency keys in milliseconds
 * @param config the configuration
 * @param claims the claims of non-idempotent requests
 * @param gate decides whether requests may run at the current time
 * @param admission admits requests
 * @param expectedMs returns the expected duration of a pipeline in milliseconds
 * @param executor runs admitted requests
 * @param workers the threads that run admitted requests, one for each
 * @param callbacks the threads that continue requests after a claim or a refusal
 * @param timeline records the events of requests
 * @param invariants checks conditions that must always hold
 * @param metrics counts requests and their results
 * @param clock the source of the current time in milliseconds since the epoch
 */
public record CallerServices(String incarnation, int maxBodyBytes, long keyLifetimeMs, ConfigService config,
		ClaimService claims, ServiceGate gate, Admission admission, ToLongFunction<PipelineSpec> expectedMs,
		PipelineExecutor executor, Executor workers, Executor callbacks, Timeline timeline, Invariants invariants,
		MetricRegistry metrics, LongSupplier clock) {
}
