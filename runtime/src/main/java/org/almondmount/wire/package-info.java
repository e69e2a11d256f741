/**
 * The protocol between almondmount's own processes: typed messages, their MessagePack
 * codec and connections with heartbeats. This package contains the public API;
 * {@code impl} contains the implementation on Netty.
 */
package org.almondmount.wire;
