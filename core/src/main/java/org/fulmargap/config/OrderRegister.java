package org.fulmargap.config;

import java.util.Comparator;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Last-writer-wins register with the administrative order for one target.
 *
 * @param target the target, {@code failure-domain/NAME} or {@code endpoint/NAME}
 * @param out whether the target is out of service and gets no new requests
 * @param counter the logical time of the order; the higher counter wins
 * @param issuer the incarnation of the entry VM that received the order; breaks ties
 * between equal counters
 */
public record OrderRegister(@JsonProperty(value = "target", required = true) String target,
		@JsonProperty(value = "out", required = true) boolean out,
		@JsonProperty(value = "counter", required = true) long counter,
		@JsonProperty(value = "issuer", required = true) String issuer) {

	private static final Comparator<OrderRegister> PRECEDENCE = Comparator.comparingLong(OrderRegister::counter)
		.thenComparing(OrderRegister::issuer)
		.thenComparing(OrderRegister::out);

	/**
	 * Checks the components.
	 */
	public OrderRegister {
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(issuer, "issuer");
		if (counter < 0) {
			throw new IllegalArgumentException("counter must not be negative: " + counter);
		}
	}

	/**
	 * Returns the winner of two orders for the same target.
	 * @param other the other order, or {@code null}
	 * @return the order with the higher pair of counter and issuer, this one if equal
	 */
	public OrderRegister merge(OrderRegister other) {
		return (other != null && PRECEDENCE.compare(other, this) > 0) ? other : this;
	}

}
