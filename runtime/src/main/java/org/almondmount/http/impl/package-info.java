/**
 * The HTTP server and client on Netty's codec.
 */
package org.almondmount.http.impl;
