package org.fulmargap.membership;

import java.util.Comparator;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.fulmargap.config.OrderRegister;

/**
 * Order of an operator to take a failure domain or an endpoint out of service or to
 * return it to service.
 *
 * @param target the target of the order
 * @param state the state that the order sets
 * @param counter the logical time of the order
 * @param issuer the incarnation of the entry VM that received the order
 */
public record AdminOrder(@JsonProperty(value = "target", required = true) Target target,
		@JsonProperty(value = "state", required = true) State state,
		@JsonProperty(value = "counter", required = true) long counter,
		@JsonProperty(value = "issuer", required = true) String issuer) {

	/** The maximum length of a target name or VM name in characters. */
	public static final int MAX_NAME_CHARS = 256;

	/** The maximum counter: far above any clock reading, and exact in any JSON parser. */
	public static final long MAX_COUNTER = 1L << 52;

	// Two orders that differ only in their state cannot occur while issuers are unique.
	// If they do, OUT wins on every VM, so that the registers converge.
	private static final Comparator<AdminOrder> PRECEDENCE = Comparator.comparingLong(AdminOrder::counter)
		.thenComparing(AdminOrder::issuer)
		.thenComparing(AdminOrder::state);

	/**
	 * Checks the components.
	 */
	public AdminOrder {
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(issuer, "issuer");
		if (counter < 1 || counter > MAX_COUNTER) {
			throw new IllegalArgumentException("counter must be from 1 to 2^52: " + counter);
		}
	}

	/**
	 * Converts an order from its form in the configuration stream.
	 * @param register the order in the stream
	 * @return the order
	 * @throws IllegalArgumentException if the target has an unknown kind
	 */
	public static AdminOrder of(OrderRegister register) {
		return new AdminOrder(Target.parse(register.target()), register.out() ? State.OUT : State.IN,
				register.counter(), register.issuer());
	}

	/**
	 * Converts the order to its form in the configuration stream.
	 * @return the register for the stream
	 */
	public OrderRegister toRegister() {
		return new OrderRegister(this.target.path(), !this.state.takesNewWork(), this.counter, this.issuer);
	}

	/**
	 * Returns whether this order replaces another one for the same target.
	 * @param other the other order
	 * @return {@code true} if counter and issuer of this order are the higher pair
	 */
	public boolean supersedes(AdminOrder other) {
		return PRECEDENCE.compare(this, other) > 0;
	}

	/**
	 * Kinds of target.
	 */
	public enum TargetKind {

		/** All endpoints of a failure domain. */
		@JsonProperty("failure_domain")
		FAILURE_DOMAIN("failure-domain"),

		/** A single endpoint. */
		@JsonProperty("endpoint")
		ENDPOINT("endpoint");

		private final String label;

		TargetKind(String label) {
			this.label = label;
		}

		/**
		 * Returns the name for operators.
		 * @return lower-case words with hyphens
		 */
		public String label() {
			return this.label;
		}

	}

	/**
	 * States that an order sets.
	 */
	public enum State {

		/** The target is in service. */
		IN,

		/** The target is out of service and gets no new requests. */
		OUT;

		/**
		 * Returns whether the target may get new requests.
		 * @return {@code true} for targets in service
		 */
		public boolean takesNewWork() {
			return this == IN;
		}

	}

	/**
	 * Target of an order.
	 *
	 * @param kind the kind of target
	 * @param name the name of the failure domain or endpoint
	 */
	public record Target(@JsonProperty(value = "kind", required = true) TargetKind kind,
			@JsonProperty(value = "name", required = true) String name) implements Comparable<Target> {

		private static final Comparator<Target> ORDER = Comparator.comparing(Target::kind).thenComparing(Target::name);

		/**
		 * Checks the components.
		 */
		public Target {
			Objects.requireNonNull(kind, "kind");
			Objects.requireNonNull(name, "name");
			if (name.isEmpty() || name.length() > MAX_NAME_CHARS) {
				throw new IllegalArgumentException("name must have 1 to 256 characters");
			}
		}

		/**
		 * Creates the target for a failure domain.
		 * @param name the name of the failure domain
		 * @return the target
		 */
		public static Target failureDomain(String name) {
			return new Target(TargetKind.FAILURE_DOMAIN, name);
		}

		/**
		 * Creates the target for an endpoint.
		 * @param name the name of the endpoint
		 * @return the target
		 */
		public static Target endpoint(String name) {
			return new Target(TargetKind.ENDPOINT, name);
		}

		/**
		 * Parses the form that {@link #path()} returns.
		 * @param path the kind, a slash and the name
		 * @return the target
		 * @throws IllegalArgumentException if the kind is unknown
		 */
		public static Target parse(String path) {
			for (TargetKind kind : TargetKind.values()) {
				if (path.startsWith(kind.label() + "/")) {
					return new Target(kind, path.substring(kind.label().length() + 1));
				}
			}
			throw new IllegalArgumentException("target has an unknown kind: " + path);
		}

		/**
		 * Returns the form for the configuration stream.
		 * @return {@code failure-domain/NAME} or {@code endpoint/NAME}
		 */
		public String path() {
			return this.kind.label() + "/" + this.name;
		}

		@Override
		public int compareTo(Target other) {
			return ORDER.compare(this, other);
		}

		@Override
		public String toString() {
			return this.kind.label() + " " + this.name;
		}

	}

}
