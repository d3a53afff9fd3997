package org.fulmargap.endpoint;

import java.io.IOException;

/**
 * Receives the tokens of a stream in the order of their index.
 */
@FunctionalInterface
public interface TokenSink {

	/** Drops all tokens. */
	TokenSink NONE = (index, text) -> {
	};

	/**
	 * Takes one token.
	 * @param index the index of the token within the whole answer
	 * @param text the text of the token
	 * @throws IOException if the receiver is gone; the call is then cancelled
	 */
	void token(int index, String text) throws IOException;

}
