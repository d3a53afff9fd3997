package org.fulmargap.entry.endpoint;

import java.util.Map;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Recognises a head that was put together from two. An endpoint that stops in the head of
 * one answer and goes on with another one sends the status line of the second inside the
 * first; a parser then reads the status of one with the headers of the other.
 */
final class JoinedHeads {

	private JoinedHeads() {
	}

	/**
	 * Returns whether a head contains the status line of another answer.
	 * @param head the decoded head
	 * @return {@code true} if its status and its headers may belong to two answers
	 */
	static boolean matches(HttpResponse head) {
		return StatusLine.isIn(head.status().reasonPhrase()) || matches(head.headers());
	}

	/**
	 * Returns whether headers contain the status line of another answer.
	 * @param headers the headers of a head, or those behind a body in chunks
	 * @return {@code true} if they may belong to two answers
	 */
	static boolean matches(HttpHeaders headers) {
		for (Map.Entry<String, String> header : headers) {
			if (StatusLine.isIn(header.getValue())) {
				return true;
			}
		}
		return false;
	}

}
