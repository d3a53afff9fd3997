/**
 * Identities, deadlines and failure types of requests.
 */
package org.fulmargap.request;
