package org.fulmargap.config;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An endpoint that runs stages of one service.
 *
 * @param service the service that the endpoint belongs to
 * @param failureDomain the failure domain of the endpoint
 * @param url the base URL, for example {@code http://127.0.0.1:9001}
 * @param maxConcurrency the number of requests that the endpoint runs at the same time
 * after warm-up, at least 1
 * @param fencing whether the endpoint checks the fencing token of an order;
 * {@code IGNORED} if absent
 */
public record EndpointSpec(@JsonProperty(value = "service", required = true) String service,
		@JsonProperty(value = "failure_domain", required = true) String failureDomain,
		@JsonProperty(value = "url", required = true) String url,
		@JsonProperty(value = "max_concurrency", required = true) int maxConcurrency,
		@JsonProperty("fencing") Fencing fencing) {

	/**
	 * Checks the components.
	 */
	public EndpointSpec {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(failureDomain, "failure_domain");
		Objects.requireNonNull(url, "url");
		if (!url.startsWith("http://") && !url.startsWith("https://")) {
			throw new IllegalArgumentException("url must start with http:// or https://: " + url);
		}
		if (maxConcurrency < 1) {
			throw new IllegalArgumentException("max_concurrency must be at least 1: " + maxConcurrency);
		}
		fencing = (fencing != null) ? fencing : Fencing.IGNORED;
	}

	/**
	 * Handling of the fencing token of an order.
	 */
	public enum Fencing {

		/** The endpoint rejects orders with a stale fencing token. */
		CHECKED,

		/** The endpoint ignores fencing tokens. */
		IGNORED;

		/**
		 * Returns whether the endpoint rejects orders of a former lease holder.
		 * @return {@code true} if stale fencing tokens are rejected
		 */
		public boolean rejectsStaleTokens() {
			return this == CHECKED;
		}

	}

}
