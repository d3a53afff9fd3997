/**
 * The way of one request from its caller to an endpoint and back.
 */
package org.fulmargap.entry.request;
