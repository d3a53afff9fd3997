package org.fulmargap.endpoint;

import java.io.IOException;

/**
 * Receives the tokens of a stream in ascending order of their index.
 */
@FunctionalInterface
public interface TokenSink {

	/** Discards all tokens. */
	TokenSink NONE = (index, text) -> {
	};

	/**
	 * Receives one token.
	 * @param index the index of the token within the whole answer
	 * @param text the text of the token
	 * @throws IOException if the token could not be delivered; the call is then cancelled
	 */
	void token(int index, String text) throws IOException;

}
