/**
 * The implementation of the protocol between processes on Netty and MessagePack.
 */
package org.almondmount.wire.impl;
