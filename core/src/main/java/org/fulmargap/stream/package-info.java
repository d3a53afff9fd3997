/**
 * Which software version of an endpoint began a stream, so that it goes on at no other
 * one.
 */
package org.fulmargap.stream;
