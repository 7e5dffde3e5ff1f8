"""A port reserved by a test is not given to another program before its use.

Ports chosen by the kernel were released before the program under test bound
them. The kernel could then give them to a second program, and fleets failed
to start.
"""

import socket
import unittest

import harness

KERNEL_RANGE = "/proc/sys/net/ipv4/ip_local_port_range"


class Ports(unittest.TestCase):

    def test_no_port_is_reserved_twice(self):
        blocks = [harness.PortBlock() for _ in range(20)]
        for block in blocks:
            self.addCleanup(block.close)
        ports = [block.reserve() for block in blocks
                 for _ in range(harness.PORTS_PER_BLOCK)]
        self.assertEqual(len(set(ports)), len(ports))
        with open(KERNEL_RANGE) as file:
            self.assertLess(max(ports), int(file.read().split()[0]))

    def test_a_block_with_a_listening_program_is_not_reserved(self):
        block = harness.PortBlock()
        port = block.reserve()
        block.close()
        with socket.socket() as listener:
            listener.bind((harness.LOOPBACK, port))
            listener.listen()
            with self.assertRaises(OSError):
                harness.PortBlock._check_unused(port)
