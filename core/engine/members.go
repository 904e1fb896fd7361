package engine

func (n *Node) membersSeen(ev *MembersSeen) {
	n.view.Merge(ev.List)
	for _, inst := range ev.List {
		if p := n.view.Peer(inst.Target); !p.Linked && p.Target != n.cfg.Self.Target {
			n.emit(&OpenLink{Target: inst.Target})
		}
	}
}
