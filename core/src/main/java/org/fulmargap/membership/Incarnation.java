package org.fulmargap.membership;

import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of one run of an entry VM. A later start of the same VM has a higher number.
 *
 * @param vm the name of the entry VM
 * @param startedAtMs when the process started, milliseconds since the epoch
 */
public record Incarnation(String vm, long startedAtMs) {

	/**
	 * Checks the components.
	 */
	public Incarnation {
		Objects.requireNonNull(vm, "vm");
		if (vm.isEmpty() || vm.length() > AdminOrder.MAX_NAME_CHARS || vm.indexOf('/') >= 0) {
			throw new IllegalArgumentException("vm must have 1 to 256 characters and no '/'");
		}
		if (startedAtMs < 0) {
			throw new IllegalArgumentException("startedAtMs must not be negative: " + startedAtMs);
		}
	}

	/**
	 * Parses the text form.
	 * @param text the VM name, a hyphen and the start time
	 * @return the incarnation
	 * @throws IllegalArgumentException if the text has another form
	 */
	@JsonCreator
	public static Incarnation parse(String text) {
		int hyphen = Objects.requireNonNull(text, "text").lastIndexOf('-');
		if (hyphen < 1) {
			throw new IllegalArgumentException("incarnation must be a VM name, a hyphen and a number: " + text);
		}
		return new Incarnation(text.substring(0, hyphen), Long.parseLong(text.substring(hyphen + 1)));
	}

	/**
	 * Parses the text form without throwing an exception for invalid text.
	 * @param text the text
	 * @return the incarnation, or empty if the text has another form
	 */
	public static Optional<Incarnation> tryParse(String text) {
		try {
			return Optional.of(parse(text));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns whether this incarnation started before another one of the same VM.
	 * @param other the other incarnation
	 * @return {@code true} if the VM is the same and the start time is lower
	 */
	public boolean isOlderThan(Incarnation other) {
		return this.vm.equals(other.vm) && this.startedAtMs < other.startedAtMs;
	}

	@Override
	@JsonValue
	public String toString() {
		return this.vm + "-" + this.startedAtMs;
	}

}
