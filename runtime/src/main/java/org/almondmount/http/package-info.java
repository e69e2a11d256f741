/**
 * HTTP/1.1 on Netty's codec: a server with limits on size, time and connections for
 * callers, and a client with pooled connections to the platform and the service instance.
 * The implementation is in {@code impl}.
 */
package org.almondmount.http;
