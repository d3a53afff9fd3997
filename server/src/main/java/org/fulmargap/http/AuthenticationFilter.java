package org.fulmargap.http;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.config.Configuration;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;

/**
 * Identifies the client account by the bearer key of the request.
 */
final class AuthenticationFilter implements RequestFilter {

	private static final String SCHEME = "Bearer ";

	private volatile Index index = new Index(Configuration.EMPTY, Map.of());

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) throws FulmargapException {
		Optional<String> header = exchange.callerRequest.header("Authorization");
		if (header.isEmpty() || !header.get().regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			throw new FulmargapException(FailureType.UNAUTHENTICATED, "NO_BEARER_KEY",
					"the header Authorization with a bearer key is missing");
		}
		String key = header.get().substring(SCHEME.length()).strip();
		String account = index(exchange.configView.configuration()).accountsByDigest()
			.get(Digests.sha256(key.getBytes(StandardCharsets.UTF_8)));
		if (account == null) {
			throw new FulmargapException(FailureType.UNAUTHENTICATED, "UNKNOWN_ACCOUNT",
					"the bearer key belongs to no client account");
		}
		exchange.accountName = account;
		exchange.account = exchange.configView.configuration().accounts().get(account);
		return next.proceed();
	}

	private Index index(Configuration configuration) {
		Index current = this.index;
		if (current.configuration() != configuration) {
			Map<String, String> accounts = new HashMap<>();
			configuration.accounts().forEach((name, spec) -> accounts.put(spec.apiKeySha256(), name));
			current = new Index(configuration, accounts);
			this.index = current;
		}
		return current;
	}

	/**
	 * Names of the client accounts by the digest of their key.
	 *
	 * @param configuration the configuration that the index was built from
	 * @param accountsByDigest the names of the accounts by digest
	 */
	private record Index(Configuration configuration, Map<String, String> accountsByDigest) {
	}

}
