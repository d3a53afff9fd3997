package org.fulmargap.http;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.fulmargap.config.Configuration;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;

/**
 * Refuses requests that this entry VM must not run at the current time.
 */
final class GateFilter implements RequestFilter {

	private final ServiceGate gate;

	private final LongSupplier clock;

	GateFilter(ServiceGate gate, LongSupplier clock) {
		this.gate = gate;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) throws FulmargapException {
		long nowMs = this.clock.getAsLong();
		this.gate.check(exchange.fingerprint, nowMs);
		checkPendingConfiguration(exchange);
		exchange.ownDomainOnly = this.gate.ownDomainOnly(nowMs);
		return next.proceed();
	}

	private static void checkPendingConfiguration(Exchange exchange) throws FulmargapException {
		Optional<Configuration> pending = exchange.configView.pending();
		if (pending.isEmpty()) {
			return;
		}
		boolean unaffected = Objects.equals(pending.get().pipelines().get(exchange.pipelineName), exchange.pipeline)
				&& Objects.equals(pending.get().accounts().get(exchange.accountName), exchange.account);
		if (!unaffected) {
			throw new FulmargapException(FailureType.NOT_RUN, "CONFIG_IN_DOUBT",
					"a configuration change that affects this request is not decided yet");
		}
	}

}
