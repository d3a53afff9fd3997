package org.fulmargap.entry.endpoint;

/**
 * Why an answer of an endpoint, or bytes in the place of one, were not accepted.
 */
public enum AnswerFault {

	/**
	 * The bytes are not valid HTTP, the status is not 100 to 599 in three digits, or the
	 * connection ended inside a head.
	 */
	INVALID_HTTP,

	/**
	 * The head contains the status line of another answer: it was put together from the
	 * start of one that was cut, and the true one. The logged status is that of the cut
	 * one.
	 */
	JOINED_HEADS,

	/**
	 * The body contains an answer to the call: the one before it was cut, and the bytes
	 * of this one were read as the rest of its body.
	 */
	JOINED_BODY,

	/** Bytes arrived while no call was in flight. */
	NO_CALL,

	/** The answer has no attempt id, but the request had one. */
	NO_ATTEMPT_ID,

	/** The answer has the attempt id of another request. It is skipped. */
	OTHER_ATTEMPT_ID,

	/** The answer has several attempt ids. */
	SEVERAL_ATTEMPT_IDS,

	/** More answers than the limit were skipped during one call. */
	TOO_MANY_SKIPPED,

	/** The skipped answers have more bytes or parts than the limit. */
	SKIPPED_TOO_LONG,

	/** The call did not accept a part of the body. */
	BODY_REFUSED,

	/** The answer is a success without the signature header. */
	NOT_SIGNED,

	/** The answer is no stream, but the caller has received the start of one. */
	NO_STREAM

}
