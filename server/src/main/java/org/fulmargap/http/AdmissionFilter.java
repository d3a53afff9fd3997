package org.fulmargap.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

import org.fulmargap.admission.AdmissionListener;
import org.fulmargap.admission.AdmissionRequest;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.pipeline.RunState;
import org.fulmargap.request.FulmargapException;

/**
 * Waits for a slot without blocking a thread, then runs the rest of the chain on a worker
 * thread.
 */
final class AdmissionFilter implements RequestFilter {

	private final Admission admission;

	private final ToLongFunction<PipelineSpec> expectedMs;

	private final Executor workers;

	private final Executor callbacks;

	private final LongSupplier clock;

	AdmissionFilter(Admission admission, ToLongFunction<PipelineSpec> expectedMs, Executor workers, Executor callbacks,
			LongSupplier clock) {
		this.admission = admission;
		this.expectedMs = expectedMs;
		this.workers = workers;
		this.callbacks = callbacks;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) {
		CompletableFuture<Reply> reply = new CompletableFuture<>();
		AdmissionRequest request = new AdmissionRequest(exchange.accountName, exchange.account.weight(),
				exchange.priority, exchange.deadline, this.expectedMs.applyAsLong(exchange.pipeline));
		this.admission.admit(exchange.pipeline, request, this.clock.getAsLong(), new AdmissionListener() {

			@Override
			public void admitted(Permit permit) {
				AdmissionFilter.this.workers.execute(() -> run(permit, next, reply));
			}

			@Override
			public void refused(FulmargapException refusal) {
				reply.completeAsync(() -> Reply.failed(refusal, exchange.requestId(), RunState.NOT_RUN),
						AdmissionFilter.this.callbacks);
			}

		});
		return reply;
	}

	private void run(AdmissionListener.Permit permit, Next next, CompletableFuture<Reply> reply) {
		next.proceed().whenComplete((result, ex) -> {
			permit.release(this.clock.getAsLong());
			if (ex != null) {
				reply.completeExceptionally(ex);
			}
			else {
				reply.complete(result);
			}
		});
	}

}
