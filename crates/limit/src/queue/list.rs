//! Doubly linked lists in a slab, which allow removal from the middle in constant
//! time: tens of thousands of requests may be cancelled at once.

/// Key of a request in the queue. It doesn't become valid for another request, even if
/// the slot is reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    slot: u32,
    generation: u32,
}

/// Head, tail and length of one list.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct List {
    head: Option<Ticket>,
    tail: Option<Ticket>,
    len: usize,
}

impl List {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn tail(&self) -> Option<Ticket> {
        self.tail
    }
}

/// Storage for the entries of any number of lists.
#[derive(Debug)]
pub(crate) struct Slab<T> {
    nodes: Vec<Node<T>>,
    free_slots: Vec<u32>,
}

#[derive(Debug)]
struct Node<T> {
    generation: u32,
    value: Option<T>,
    previous: Option<Ticket>,
    next: Option<Ticket>,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab {
            nodes: Vec::new(),
            free_slots: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    pub(crate) fn len(&self) -> usize {
        self.nodes.len() - self.free_slots.len()
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&T> {
        self.node(ticket)?.value.as_ref()
    }

    /// Stores `value` without adding it to a list.
    pub(crate) fn insert(&mut self, value: T) -> Ticket {
        let slot = self.free_slots.pop().unwrap_or(self.nodes.len() as u32);
        if slot as usize == self.nodes.len() {
            self.nodes.push(Node {
                generation: 0,
                value: None,
                previous: None,
                next: None,
            });
        }
        let node = &mut self.nodes[slot as usize];
        node.value = Some(value);
        Ticket {
            slot,
            generation: node.generation,
        }
    }

    /// Removes a value, which must already be unlinked from its list.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let node = self.node_mut(ticket)?;
        let value = node.value.take()?;
        node.generation = node.generation.wrapping_add(1);
        self.free_slots.push(ticket.slot);
        Some(value)
    }

    /// Appends a stored value, which must not be in any list yet.
    pub(crate) fn push_back(&mut self, list: &mut List, ticket: Ticket) {
        let tail = list.tail.replace(ticket);
        match tail {
            Some(tail) => self.link(tail, ticket),
            None => list.head = Some(ticket),
        }
        list.len += 1;
    }

    /// Takes a value out of `list`, which must contain it, but keeps it stored.
    pub(crate) fn unlink(&mut self, list: &mut List, ticket: Ticket) {
        let Some(node) = self.node_mut(ticket) else {
            return;
        };
        let (previous, next) = (node.previous.take(), node.next.take());
        match previous.and_then(|previous| self.node_mut(previous)) {
            Some(node) => node.next = next,
            None => list.head = next,
        }
        match next.and_then(|next| self.node_mut(next)) {
            Some(node) => node.previous = previous,
            None => list.tail = previous,
        }
        list.len -= 1;
    }

    /// Iterates over a list from head to tail.
    pub(crate) fn iter(&self, list: &List) -> impl Iterator<Item = Ticket> + '_ {
        std::iter::successors(list.head, |ticket| self.node(*ticket)?.next)
    }

    fn link(&mut self, first: Ticket, second: Ticket) {
        if let Some(node) = self.node_mut(first) {
            node.next = Some(second);
        }
        if let Some(node) = self.node_mut(second) {
            node.previous = Some(first);
        }
    }

    fn node(&self, ticket: Ticket) -> Option<&Node<T>> {
        self.nodes
            .get(ticket.slot as usize)
            .filter(|node| node.generation == ticket.generation)
    }

    fn node_mut(&mut self, ticket: Ticket) -> Option<&mut Node<T>> {
        self.nodes
            .get_mut(ticket.slot as usize)
            .filter(|node| node.generation == ticket.generation)
    }
}
